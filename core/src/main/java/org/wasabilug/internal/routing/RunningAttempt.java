package org.wasabilug.internal.routing;

/** An attempt in flight. */
final class RunningAttempt {
    private final EndpointTracker mTracker;
    private final PoolRoutes mPool;
    private final boolean mSuspect;
    private final long mSentNanos;
    private final double mLoadFactor;
    private long mFirstChunkNanos;
    private boolean mChunkSeen;

    RunningAttempt(EndpointTracker tracker, PoolRoutes pool, boolean suspect, long nowNanos) {
        mTracker = tracker;
        mPool = pool;
        mSuspect = suspect;
        mSentNanos = nowNanos;
        mLoadFactor = 1 + tracker.utilization(nowNanos);
    }

    EndpointTracker tracker() {
        return mTracker;
    }

    PoolRoutes pool() {
        return mPool;
    }

    boolean isSuspect() {
        return mSuspect;
    }

    void firstChunk(long nowNanos) {
        if (!mChunkSeen) {
            mChunkSeen = true;
            mFirstChunkNanos = nowNanos;
        }
    }

    /** Returns the estimated duration of the call without concurrent calls, in nanoseconds. */
    double unloadedNanos(long nowNanos) {
        return Math.max(1, nowNanos - mSentNanos) / mLoadFactor;
    }

    /**
     * Returns the share of the duration before the first chunk; 1 if the result was not chunked.
     */
    double firstChunkShare(long nowNanos) {
        if (!mChunkSeen) {
            return 1;
        }
        return (double) (mFirstChunkNanos - mSentNanos) / Math.max(1, nowNanos - mSentNanos);
    }
}
