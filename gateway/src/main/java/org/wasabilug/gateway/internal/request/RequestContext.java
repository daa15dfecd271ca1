package org.wasabilug.gateway.internal.request;

import java.util.List;
import java.util.Optional;
import org.wasabilug.gateway.internal.caller.CallerExchange;
import org.wasabilug.internal.serving.PromptSize;
import org.wasabilug.serving.Route;
import org.wasabilug.serving.ServiceSpecification;

/**
 * An accepted request and what was parsed from it.
 *
 * @param id request id
 * @param exchange connection to the caller
 * @param route its route
 * @param service service that runs it
 * @param workspace name of its workspace; empty for anonymous requests
 * @param rank priority class, 0 the most urgent
 * @param objectiveMillis latency objective as a time of the monotonic clock, in milliseconds
 * @param deadline when it ends without a response
 * @param prompt size of its prompt
 * @param pieces number of pieces of each stage
 * @param pieceKey content key of its pieces
 */
record RequestContext(
        String id,
        CallerExchange exchange,
        Route route,
        ServiceSpecification service,
        Optional<String> workspace,
        int rank,
        long objectiveMillis,
        RequestDeadline deadline,
        PromptSize prompt,
        List<Integer> pieces,
        String pieceKey) {}
