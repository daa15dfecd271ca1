package org.wasabilug.internal.event;

import java.net.URI;
import org.wasabilug.model.CallProtocol;
import org.wasabilug.model.EndpointName;

/**
 * Everything that an adapter needs to run one attempt at an endpoint.
 *
 * @param attempt identity of the attempt
 * @param endpoint where to run it
 * @param address base address of the endpoint
 * @param requestPath path of the HTTP request
 * @param protocol shape of the answer
 * @param input input of the stage
 * @param resumeOffset characters of the result that are already there
 * @param timeoutNanos time left for the attempt, in nanoseconds
 * @param priority 0 for the most urgent, larger for less
 * @param repeatable false where the endpoint must see this work at most once
 */
public record StageCall(
        AttemptId attempt,
        EndpointName endpoint,
        URI address,
        String requestPath,
        CallProtocol protocol,
        String input,
        int resumeOffset,
        long timeoutNanos,
        int priority,
        boolean repeatable) {}
