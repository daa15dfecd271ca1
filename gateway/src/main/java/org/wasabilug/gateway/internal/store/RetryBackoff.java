package org.wasabilug.gateway.internal.store;

import java.util.concurrent.ThreadLocalRandom;

/** Pauses between failing calls: each about twice as long as the one before, with jitter. */
final class RetryBackoff {
    private final long mMinMillis;
    private final long mMaxMillis;
    private long mMillis;

    RetryBackoff(long shortestMillis, long longestMillis) {
        mMinMillis = shortestMillis;
        mMaxMillis = longestMillis;
        mMillis = shortestMillis;
    }

    /** Gives the next pause, in milliseconds. */
    long next() {
        long pause = mMillis / 2 + ThreadLocalRandom.current().nextLong(mMillis);
        mMillis = Math.min(2 * mMillis, mMaxMillis);
        return pause;
    }

    /** Begins anew after a call that succeeded. */
    void reset() {
        mMillis = mMinMillis;
    }
}
