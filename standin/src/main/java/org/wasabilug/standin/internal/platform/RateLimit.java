package org.wasabilug.standin.internal.platform;

import java.util.concurrent.TimeUnit;

/** Counts requests in fixed windows of one second and rejects those above a limit. */
final class RateLimit {
    private long mSecond = Long.MIN_VALUE;
    private int mCount;

    /** Returns whether a request is within the limit; a limit of 0 or less means none. */
    synchronized boolean tryAcquire(int limitPerSecond, long nowNanos) {
        long second = TimeUnit.NANOSECONDS.toSeconds(nowNanos);
        if (second != mSecond) {
            mSecond = second;
            mCount = 0;
        }
        mCount += 1;
        return limitPerSecond <= 0 || mCount <= limitPerSecond;
    }
}
