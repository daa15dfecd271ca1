package org.wasabilug.entry.internal.actor;

import java.util.TreeSet;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Schedules the wake-ups that the core requests. Only the earliest is armed at any time. */
final class WakeUpTimer {
    private static final long GRANULARITY_NANOS = 1_000_000;

    private final ScheduledExecutorService mTimer;
    private final Runnable mWakeUp;
    private final TreeSet<Long> mScheduled = new TreeSet<>();
    private ScheduledFuture<?> mArmed;
    private long mArmedNanos;

    WakeUpTimer(ScheduledExecutorService timer, Runnable wakeUp) {
        mTimer = timer;
        mWakeUp = wakeUp;
    }

    void schedule(long atNanos, long nowNanos) {
        mScheduled.add(roundedUp(atNanos));
        arm(nowNanos);
    }

    void onWakeUp(long nowNanos) {
        mScheduled.headSet(nowNanos, true).clear();
        mArmed = null;
        arm(nowNanos);
    }

    private void arm(long nowNanos) {
        if (mScheduled.isEmpty() || mArmed != null && mArmedNanos <= mScheduled.first()) {
            return;
        }
        if (mArmed != null) {
            mArmed.cancel(false);
        }
        mArmedNanos = mScheduled.first();
        long delayNanos = Math.max(0, mArmedNanos - nowNanos);
        mArmed = mTimer.schedule(mWakeUp, delayNanos, TimeUnit.NANOSECONDS);
    }

    private static long roundedUp(long atNanos) {
        return Math.ceilDiv(atNanos, GRANULARITY_NANOS) * GRANULARITY_NANOS;
    }
}
