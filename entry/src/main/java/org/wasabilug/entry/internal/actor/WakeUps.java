package org.wasabilug.entry.internal.actor;

import java.util.TreeSet;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Wake-ups that the core asked for. Only the earliest one is armed. */
final class WakeUps {
    private static final long GRANULARITY_NANOS = 1_000_000;

    private final ScheduledExecutorService mTimer;
    private final Runnable mWake;
    private final TreeSet<Long> mWanted = new TreeSet<>();
    private ScheduledFuture<?> mArmed;
    private long mArmedNanos;

    WakeUps(ScheduledExecutorService timer, Runnable wake) {
        mTimer = timer;
        mWake = wake;
    }

    void want(long atNanos, long nowNanos) {
        mWanted.add(roundedUp(atNanos));
        arm(nowNanos);
    }

    void passed(long nowNanos) {
        mWanted.headSet(nowNanos, true).clear();
        mArmed = null;
        arm(nowNanos);
    }

    private void arm(long nowNanos) {
        if (mWanted.isEmpty() || mArmed != null && mArmedNanos <= mWanted.first()) {
            return;
        }
        if (mArmed != null) {
            mArmed.cancel(false);
        }
        mArmedNanos = mWanted.first();
        long delayNanos = Math.max(0, mArmedNanos - nowNanos);
        mArmed = mTimer.schedule(mWake, delayNanos, TimeUnit.NANOSECONDS);
    }

    private static long roundedUp(long atNanos) {
        return Math.ceilDiv(atNanos, GRANULARITY_NANOS) * GRANULARITY_NANOS;
    }
}
