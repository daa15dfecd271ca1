package org.wasabilug.internal.serving;

/** A piece that waits for an endpoint. */
final class WaitingPiece {
    private final PieceWork mWork;
    private final RetryPermit mPermit;
    private final long mSinceMillis;
    private final long mOrder;
    private boolean mPartlyServed;

    /**
     * Creates a waiting piece.
     *
     * @param work the piece
     * @param permit permission to send it once more
     * @param sinceMillis monotonic time, in milliseconds, at which it was added
     * @param order number of pieces that were added before
     */
    WaitingPiece(PieceWork work, RetryPermit permit, long sinceMillis, long order) {
        mWork = work;
        mPermit = permit;
        mSinceMillis = sinceMillis;
        mOrder = order;
        mPartlyServed = work.pastFirstStage();
    }

    PieceWork work() {
        return mWork;
    }

    String request() {
        return mWork.id().request();
    }

    RetryPermit permit() {
        return mPermit;
    }

    long sinceMillis() {
        return mSinceMillis;
    }

    long order() {
        return mOrder;
    }

    /**
     * Returns whether work was done for its request, so that it precedes others of its class where
     * workspaces get fair shares.
     */
    boolean partlyServed() {
        return mPartlyServed;
    }

    /** Records that work was done for its request; only while it is in no order. */
    void setPartlyServed() {
        mPartlyServed = true;
    }
}
