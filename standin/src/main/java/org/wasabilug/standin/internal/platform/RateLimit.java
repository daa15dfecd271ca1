package org.wasabilug.standin.internal.platform;

import java.util.concurrent.TimeUnit;

/** Counts requests within each second and refuses those over a limit. */
final class RateLimit {
    private long mSecond = Long.MIN_VALUE;
    private int mCount;

    synchronized boolean tryTake(int limitPerSecond, long nowNanos) {
        long second = TimeUnit.NANOSECONDS.toSeconds(nowNanos);
        if (second != mSecond) {
            mSecond = second;
            mCount = 0;
        }
        mCount += 1;
        return limitPerSecond <= 0 || mCount <= limitPerSecond;
    }
}
