package org.wasabilug.internal.serving;

/**
 * Decides whether an arriving piece can be in time, is deferred or is refused, from the work before
 * it and the rates at which that is served.
 *
 * @param perSecond pieces that the endpoints serve per second; 0 if no endpoint accepts work
 * @param forRankPerSecond of these, what more urgent ranks leave; not positive if they take all
 * @param sparePerSecond of these, what all pieces that can start in time leave
 * @param callMillis duration of a full call, in milliseconds
 */
public record DeferredAdmission(
        double perSecond, double forRankPerSecond, double sparePerSecond, double callMillis) {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** What becomes of a piece. */
    public enum Decision {
        /** Its request can meet its latency objective. */
        TIMELY,
        /** Its request misses the objective, and can be served before its deadline. */
        DEFERRED,
        /** It can't be served before the deadline of its request. */
        REFUSED
    }

    /**
     * Decides on a piece, and adds it to its queue unless it is refused; then its permit is given
     * back.
     *
     * @param work the piece
     * @param permit permission to send it once more
     * @param queue the queue
     * @param order order of the pieces in the queue
     * @param nowMillis current monotonic time, in milliseconds
     */
    public Decision admit(
            PieceWork work, RetryPermit permit, StageQueue queue, FairOrder order, long nowMillis) {
        String request = work.id().request();
        Decision decision = decide(work, order.ahead(work), order.isDeferred(request), nowMillis);
        if (decision == Decision.REFUSED) {
            permit.giveBack();
            return decision;
        }
        queue.add(work, permit, nowMillis);
        if (decision == Decision.DEFERRED) {
            order.defer(request);
        } else {
            order.recordTimely(nowMillis);
        }
        return decision;
    }

    /**
     * Decides on a piece.
     *
     * @param work the piece
     * @param ahead work that is served before it
     * @param requestDeferred whether its request is deferred already
     * @param nowMillis current monotonic time, in milliseconds
     */
    public Decision decide(
            PieceWork work, FairOrder.Ahead ahead, boolean requestDeferred, long nowMillis) {
        long slackMillis = work.startByMillis() - nowMillis;
        boolean timely =
                !requestDeferred && slackMillis >= 0 && timelyWaitMillis(ahead) <= slackMillis;
        if (timely) {
            return Decision.TIMELY;
        }
        double wait = deferredWaitMillis(ahead.allTimelyPieces(), ahead.deferredPieces());
        // Work that was done for a request is lost if it is refused.
        return work.pastFirstStage() || wait + callMillis <= work.deadlineMillis() - nowMillis
                ? Decision.DEFERRED
                : Decision.REFUSED;
    }

    /**
     * Returns whether a waiting piece can be served before its deadline if no more pieces arrive.
     * Expecting the present demand to go on, as on arrival, would remove in each burst pieces that
     * can be served after it.
     *
     * @param work the piece
     * @param piecesBefore waiting pieces that are sent before it
     * @param nowMillis current monotonic time, in milliseconds
     */
    boolean servesWaiting(PieceWork work, int piecesBefore, long nowMillis) {
        double wait = millis(piecesBefore, perSecond);
        return wait + callMillis <= work.deadlineMillis() - nowMillis;
    }

    /**
     * Predicts the wait of a piece that is not deferred: all pieces before it are served first, or
     * its rank gets no more than the least share.
     *
     * @param ahead work that is served before it
     */
    public double timelyWaitMillis(FairOrder.Ahead ahead) {
        double least = millis(ahead.sameRankPieces(), FairOrder.LEAST_RANK_SHARE * perSecond);
        int pieces = ahead.moreUrgentPieces() + ahead.sameRankPieces();
        return forRankPerSecond > 0 ? Math.min(least, millis(pieces, forRankPerSecond)) : least;
    }

    /**
     * Predicts the wait of a piece of a deferred request.
     *
     * @param timelyPieces pieces that can start in time
     * @param deferredPieces pieces of deferred requests before it
     */
    public double deferredWaitMillis(int timelyPieces, int deferredPieces) {
        return millis(timelyPieces, perSecond) + millis(deferredPieces, sparePerSecond);
    }

    /** Without an endpoint nothing can be predicted, as one may return at any time. */
    private static double millis(int pieces, double perSecond) {
        return perSecond > 0 ? pieces * MILLIS_PER_SECOND / perSecond : 0;
    }
}
