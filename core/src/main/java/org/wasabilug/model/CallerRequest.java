package org.wasabilug.model;

import java.time.Duration;
import java.util.Optional;

/**
 * An authenticated request of a caller.
 *
 * @param id identity of the request, see {@link #requestIdOf}
 * @param workspace workspace of the caller
 * @param pipeline pipeline to run; for a plain service, a pipeline of one stage
 * @param body the caller's input
 * @param idempotencyKey key under which the caller may retry the request; empty if it sent none
 * @param deadline time limit for the complete answer, counted from arrival
 * @param streamed true if the caller receives chunks as they are produced
 */
public record CallerRequest(
        RequestId id,
        WorkspaceName workspace,
        Pipeline pipeline,
        String body,
        Optional<String> idempotencyKey,
        Duration deadline,
        boolean streamed) {
    /**
     * Returns the identity of the request that a workspace sends under an idempotency key.
     *
     * @param workspace the workspace
     * @param idempotencyKey the caller's key
     * @return the identity, which is the same at every instance
     */
    public static RequestId requestIdOf(WorkspaceName workspace, String idempotencyKey) {
        return new RequestId(workspace.value() + ":" + idempotencyKey);
    }
}
