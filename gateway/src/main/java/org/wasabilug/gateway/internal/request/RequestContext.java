package org.wasabilug.gateway.internal.request;

import java.util.List;
import java.util.Optional;
import org.wasabilug.gateway.internal.caller.CallerExchange;
import org.wasabilug.internal.serving.PromptSize;
import org.wasabilug.serving.Route;
import org.wasabilug.serving.ServiceSpecification;

/**
 * A request that may be served, and what was read from it.
 *
 * @param id request id
 * @param exchange the caller's side
 * @param route its route
 * @param service service that is to run it
 * @param workspace name of its workspace; empty for anonymous requests
 * @param rank urgency, 0 first
 * @param objectiveMillis when its answer should be there
 * @param deadlineMillis when its answer is of no use any more
 * @param prompt size of its prompt
 * @param pieces pieces of each stage
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
        long deadlineMillis,
        PromptSize prompt,
        List<Integer> pieces,
        String pieceKey) {}
