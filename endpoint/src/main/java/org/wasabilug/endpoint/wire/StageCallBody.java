package org.wasabilug.endpoint.wire;

/**
 * Body of a stage call.
 *
 * @param request id of the request
 * @param stage name of the stage
 * @param attempt number of the attempt
 * @param input input of the stage
 * @param offset length of the partial result that the instance already has, in characters
 * @param resumeText the partial result; the endpoint continues after it
 * @param priority priority class, 0 the most urgent
 * @param timeoutMilliseconds remaining time of the attempt
 */
public record StageCallBody(
        String request,
        String stage,
        long attempt,
        String input,
        int offset,
        String resumeText,
        int priority,
        long timeoutMilliseconds) {}
