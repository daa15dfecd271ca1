package org.wasabilug.internal.serving;

/** Outcome of a piece. */
public sealed interface PieceOutcome {
    /**
     * The result is stored at the endpoint that produced it.
     *
     * @param handle handle for reading the result
     */
    record Produced(String handle) implements PieceOutcome {}

    /**
     * There is no result.
     *
     * @param reason cause of the failure
     */
    record Failed(PieceFailure reason) implements PieceOutcome {}
}
