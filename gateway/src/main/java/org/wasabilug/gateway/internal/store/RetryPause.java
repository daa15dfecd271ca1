package org.wasabilug.gateway.internal.store;

import java.util.concurrent.ThreadLocalRandom;

/** Pauses between failing calls: each about twice as long as the one before, with jitter. */
final class RetryPause {
    private final long mShortestMillis;
    private final long mLongestMillis;
    private long mMillis;

    RetryPause(long shortestMillis, long longestMillis) {
        mShortestMillis = shortestMillis;
        mLongestMillis = longestMillis;
        mMillis = shortestMillis;
    }

    /** Gives the next pause, in milliseconds. */
    long next() {
        long pause = mMillis / 2 + ThreadLocalRandom.current().nextLong(mMillis);
        mMillis = Math.min(2 * mMillis, mLongestMillis);
        return pause;
    }

    /** Begins anew after a call that succeeded. */
    void reset() {
        mMillis = mShortestMillis;
    }
}
