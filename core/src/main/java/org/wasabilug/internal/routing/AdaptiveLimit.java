package org.wasabilug.internal.routing;

/**
 * Concurrency limit of an endpoint over all instances: additive increase while calls succeed,
 * multiplicative decrease when the endpoint is overloaded or too slow.
 */
final class AdaptiveLimit {
    private static final double DECREASE = 0.8;
    private static final long DECREASE_INTERVAL_NANOS = 200_000_000L;

    private double mLimit;
    private int mMaximum;
    private long mDecreasedNanos = Long.MIN_VALUE / 2;

    AdaptiveLimit(int maximum) {
        mMaximum = maximum;
        mLimit = maximum;
    }

    void setMaximum(int maximum) {
        mLimit = mLimit >= mMaximum ? maximum : Math.min(mLimit, maximum);
        mMaximum = maximum;
    }

    void recordSuccess() {
        mLimit = Math.min(mMaximum, mLimit + 1 / mLimit);
    }

    void recordOverload(long nowNanos) {
        if (nowNanos - mDecreasedNanos >= DECREASE_INTERVAL_NANOS) {
            mLimit = Math.max(1, mLimit * DECREASE);
            mDecreasedNanos = nowNanos;
        }
    }

    double limit() {
        return mLimit;
    }
}
