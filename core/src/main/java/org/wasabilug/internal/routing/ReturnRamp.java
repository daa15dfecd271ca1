package org.wasabilug.internal.routing;

/** Share of the full load that a returning endpoint receives, increasing over time. */
final class ReturnRamp {
    private static final double INITIAL_SHARE = 0.1;

    private final long mRampNanos;
    private boolean mRunning;
    private long mStartedNanos;

    ReturnRamp(long rampNanos) {
        mRampNanos = rampNanos;
    }

    void start(long nowNanos) {
        mRunning = true;
        mStartedNanos = nowNanos;
    }

    double share(long nowNanos) {
        if (!mRunning) {
            return 1;
        }
        double elapsedShare = (double) Math.max(0, nowNanos - mStartedNanos) / mRampNanos;
        if (elapsedShare >= 1) {
            mRunning = false;
            return 1;
        }
        return INITIAL_SHARE + (1 - INITIAL_SHARE) * elapsedShare;
    }
}
