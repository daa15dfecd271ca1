package org.wasabilug.internal.serving;

/**
 * A piece that waits for an endpoint.
 *
 * @param work the piece
 * @param permit permission to send it once more
 * @param sinceMillis monotonic time, in milliseconds, at which it was added
 * @param order number of pieces that were added before
 */
record WaitingPiece(PieceWork work, RetryPermit permit, long sinceMillis, long order) {
    @Override
    public boolean equals(Object other) {
        return this == other;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(order);
    }
}
