package org.wasabilug.model;

import java.time.Duration;
import java.util.Optional;

/**
 * One request of a caller, already authenticated.
 *
 * @param id identity of the request, see {@link #requestIdOf}
 * @param workspace workspace of the caller
 * @param pipeline pipeline to run, or a pipeline of one stage made for a plain service
 * @param body the caller's input
 * @param idempotencyKey key under which the caller may ask again; empty where it gave none
 * @param deadline time for the whole answer, from arrival
 * @param streamed true where the caller reads chunks as they come
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
     * Identity of the request that a workspace makes under an idempotency key.
     *
     * @param workspace the workspace
     * @param idempotencyKey the caller's key
     * @return the same identity at every instance
     */
    public static RequestId requestIdOf(WorkspaceName workspace, String idempotencyKey) {
        return new RequestId(workspace.value() + ":" + idempotencyKey);
    }
}
