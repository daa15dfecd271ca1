package org.wasabilug.internal.serving;

import java.util.List;

/**
 * A piece to be run.
 *
 * @param id ID of the piece
 * @param service service that runs it
 * @param key content key of the request; used if there are no inputs
 * @param inputs handles of the results that it reads
 * @param startByMillis latest start time, in milliseconds, at which the request can still meet its
 *     deadline
 * @param rank priority class of the request; 0 is the most urgent
 * @param deadlineMillis time, in milliseconds, after which the result is not needed
 * @param resultBytes approximate size of the result
 * @param preferredDomain failure domain in which running the piece avoids transfers; empty if there
 *     is no preference
 * @param localityWaitMillis how long the piece waits for an endpoint in the preferred domain
 * @param repetition whether it is sent once more
 * @param workspace workspace of the request; empty if it has none or the sender does not state it
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
        Repetition repetition,
        String workspace) {
    /** Copies the inputs. */
    public PieceWork {
        inputs = List.copyOf(inputs);
    }

    /**
     * Returns whether the result of another order is as good: it is the same piece, with the same
     * inputs.
     *
     * @param other the other order
     */
    public boolean hasResultOf(PieceWork other) {
        return id.equals(other.id) && inputs.equals(other.inputs);
    }

    /** Returns whether work was done for the request before: it has completed a stage. */
    public boolean pastFirstStage() {
        return id.stage() > 0 || !inputs.isEmpty();
    }

    /** Returns whether it may have been sent before. */
    public boolean repeat() {
        return repetition != Repetition.NONE;
    }

    /**
     * Returns a copy that is sent once more.
     *
     * @param again whether the retry budget was asked
     */
    public PieceWork repeated(Repetition again) {
        return with(startByMillis, deadlineMillis, again);
    }

    /**
     * Returns a copy with more time.
     *
     * @param startBy latest start time, in milliseconds
     * @param deadline time, in milliseconds, after which the result is not needed
     */
    public PieceWork withTime(long startBy, long deadline) {
        return with(startBy, deadline, repetition);
    }

    private PieceWork with(long startBy, long deadline, Repetition again) {
        return new PieceWork(
                id,
                service,
                key,
                inputs,
                startBy,
                rank,
                deadline,
                resultBytes,
                preferredDomain,
                localityWaitMillis,
                again,
                workspace);
    }
}
