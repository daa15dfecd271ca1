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
     * @param mayHaveArrived false if it is certain that no endpoint has received the piece
     */
    record Failed(PieceFailure reason, boolean mayHaveArrived) implements PieceOutcome {
        /**
         * Creates the outcome of a piece that an endpoint may have received.
         *
         * @param reason cause of the failure
         */
        public Failed(PieceFailure reason) {
            this(reason, true);
        }
    }
}
