package org.wasabilug.gateway.internal.store;

import java.util.concurrent.ThreadLocalRandom;

/** Exponential backoff with jitter for failing calls. */
final class RetryBackoff {
    private final long mMinMillis;
    private final long mMaxMillis;
    private long mMillis;

    RetryBackoff(long minMillis, long maxMillis) {
        mMinMillis = minMillis;
        mMaxMillis = maxMillis;
        mMillis = minMillis;
    }

    /** Returns the next pause in milliseconds. */
    long next() {
        long pause = mMillis / 2 + ThreadLocalRandom.current().nextLong(mMillis);
        mMillis = Math.min(2 * mMillis, mMaxMillis);
        return pause;
    }

    /** Starts over after a successful call. */
    void reset() {
        mMillis = mMinMillis;
    }
}
