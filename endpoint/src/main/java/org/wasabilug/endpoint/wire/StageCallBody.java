package org.wasabilug.endpoint.wire;

/**
 * Body of a request that runs a stage.
 *
 * @param request id of the request
 * @param stage name of the stage
 * @param attempt number of the attempt
 * @param input input of the stage
 * @param offset characters of the result that the caller has already
 * @param resumeText these characters; an endpoint goes on after them
 * @param priority 0 for the most urgent, larger for less
 * @param timeoutMilliseconds time left for the attempt
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
