package org.wasabilug.internal.serving;

/** What became of a piece. */
public sealed interface PieceOutcome {
    /**
     * The result lies at the endpoint that made it.
     *
     * @param handle where it can be read
     */
    record Produced(String handle) implements PieceOutcome {}

    /**
     * There is no result.
     *
     * @param reason why
     */
    record Failed(PieceFailure reason) implements PieceOutcome {}
}
