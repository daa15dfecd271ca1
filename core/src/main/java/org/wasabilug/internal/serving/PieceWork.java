package org.wasabilug.internal.serving;

import java.util.List;

/**
 * One piece that is to be produced.
 *
 * @param id its name
 * @param service service that produces it
 * @param key content key of the request; read where there are no inputs
 * @param inputs handles of the results that it reads
 * @param startByMillis when it must start so that its request is on time
 * @param rank urgency of its request, 0 first
 * @param deadlineMillis when its result is of no use any more
 * @param resultBytes approximate size of its result
 * @param preferredDomain failure domain in which the work saves transfers; empty where it doesn't
 *     matter
 * @param localityWaitMillis how much longer the piece waits for an endpoint of that domain
 * @param repeat true where the piece was produced before
 */
public record PieceWork(
        PieceId id,
        String service,
        String key,
        List<String> inputs,
        long startByMillis,
        int rank,
        long deadlineMillis,
        double resultBytes,
        String preferredDomain,
        long localityWaitMillis,
        boolean repeat) {
    /** Copies the list. */
    public PieceWork {
        inputs = List.copyOf(inputs);
    }

    /**
     * Gives the same work, marked as produced before.
     *
     * @return a copy
     */
    public PieceWork repeated() {
        return new PieceWork(
                id,
                service,
                key,
                inputs,
                startByMillis,
                rank,
                deadlineMillis,
                resultBytes,
                preferredDomain,
                localityWaitMillis,
                true);
    }
}
