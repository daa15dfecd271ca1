package org.wasabilug.internal.instance;

/** Delays the end of a planned stop until the session lease is released or a timeout expires. */
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

    /** Returns true once, when the process may exit. */
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
