package org.wasabilug.gateway.protocol;

import java.util.Set;

/**
 * Names of the headers that callers, gateway and endpoints exchange.
 *
 * @param requestId id of one attempt of a caller
 * @param deadline milliseconds for which the sender waits
 * @param expectedEndpoint name of the only endpoint that may run the request
 * @param notExecuted set by an endpoint that did not run the request
 * @param seal set by an endpoint on its own responses
 * @param workspace name of the workspace whose key the caller sent
 * @param tokenCounts number of prompt tokens and maximum number of output tokens
 * @param promptParts parts of the prompt
 * @param priority priority at a model engine
 * @param pieceCounts number of pieces of each stage
 * @param pieceKey content key of the request's pieces
 * @param inputs handles of the results that a model engine reads
 * @param lastEventId id of the last event that was received
 * @param resumes id of the attempt that brought the first event of a stream that is resumed
 * @param authorization key of the caller
 * @param brittle number of rejections within a second that an endpoint tolerates, set by it
 * @param leaving set to 1 by an endpoint that leaves
 * @param serverLoad load and momentary speed of an endpoint, set by it
 * @param reserved headers that a caller may not set, in lower case
 */
public record HeaderNames(
        String requestId,
        String deadline,
        String expectedEndpoint,
        String notExecuted,
        String seal,
        String workspace,
        String tokenCounts,
        String promptParts,
        String priority,
        String pieceCounts,
        String pieceKey,
        String inputs,
        String lastEventId,
        String resumes,
        String authorization,
        String brittle,
        String leaving,
        String serverLoad,
        Set<String> reserved) {
    /** Copies the set of reserved headers. */
    public HeaderNames {
        reserved = Set.copyOf(reserved);
    }
}
