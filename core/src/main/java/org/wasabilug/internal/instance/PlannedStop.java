package org.wasabilug.internal.instance;

/** Holds a planned stop back until the session lease is given back, for a bounded time. */
final class PlannedStop {
    private static final long RELEASE_TIMEOUT_NANOS = 2_000_000_000L;

    private boolean mReleasing;
    private boolean mFinished;
    private long mReleaseDeadlineNanos;

    boolean isReleasing() {
        return mReleasing;
    }

    void beginRelease(long nowNanos) {
        mReleasing = true;
        mReleaseDeadlineNanos = nowNanos + RELEASE_TIMEOUT_NANOS;
    }

    /** True once, when the process may end. */
    boolean tryFinish(boolean released, long nowNanos) {
        if (!mReleasing || mFinished) {
            return false;
        }
        mFinished = released || nowNanos - mReleaseDeadlineNanos >= 0;
        return mFinished;
    }

    long nextWakeNanos() {
        return mReleasing && !mFinished ? mReleaseDeadlineNanos : Long.MAX_VALUE;
    }
}
