package org.wasabilug.internal.rollout;

import org.wasabilug.internal.serving.RolloutLimits;

/**
 * Bounds the requests of this instance that go to a version that has not been judged.
 *
 * <p>The share of the own requests, and an equal part of the slack for each instance, keep the
 * bound as a sum over instances that can't reach each other.
 */
final class Exposure {
    /** Part of the share for first attempts; the rest is kept for streams that resume there. */
    private static final double FIRST_ATTEMPT_PART = 0.8;

    /**
     * Part of the requests that may use the slack, so that both versions are seen in the same
     * period from the beginning.
     */
    private static final double SLACK_REQUEST_PART = 0.25;

    private final RolloutLimits mLimits;
    private final boolean mPresentAtOrder;
    private long mRequests;

    /**
     * Creates an exposure without requests.
     *
     * @param limits limits for all instances together
     * @param presentAtOrder whether this instance ran when the order was given; only such instances
     *     share the slack, as an earlier process of a later one may have used it
     */
    Exposure(RolloutLimits limits, boolean presentAtOrder) {
        mLimits = limits;
        mPresentAtOrder = presentAtOrder;
    }

    /** Counts a request that is about to be sent to the service for the first time. */
    void recordRequest() {
        mRequests++;
    }

    long requests() {
        return mRequests;
    }

    /** Returns how many requests more may go to the version. */
    double remaining(SendKind kind, long exposed, int instances) {
        double slack = mPresentAtOrder ? (double) mLimits.exposureSlack() / instances : 0;
        double allowed = mLimits.exposureShare() * mRequests + slack;
        double usable =
                kind == SendKind.FIRST ? Math.max(slack, FIRST_ATTEMPT_PART * allowed) : allowed;
        double mixed = kind == SendKind.FIRST ? 1 + SLACK_REQUEST_PART * mRequests : usable;
        return Math.min(usable, mixed) - exposed;
    }
}
