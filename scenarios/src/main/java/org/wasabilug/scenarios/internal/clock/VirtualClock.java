package org.wasabilug.scenarios.internal.clock;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Discrete-event scheduler. Steps run by time; those with equal times run in scheduling order. */
public final class VirtualClock {
    /** Nanoseconds in a millisecond. */
    public static final long MILLISECOND_NANOS = 1_000_000L;

    /** Nanoseconds in a second. */
    public static final long SECOND_NANOS = 1_000_000_000L;

    private final PriorityQueue<Step> mSteps =
            new PriorityQueue<>(
                    Comparator.comparingLong(Step::atNanos).thenComparingLong(Step::order));
    private long mNowNanos;
    private long mNextOrder;

    private record Step(long atNanos, long order, Runnable work) {}

    /**
     * Returns the current virtual time.
     *
     * @return nanoseconds since the start of the run
     */
    public long nowNanos() {
        return mNowNanos;
    }

    /**
     * Schedules a step at a virtual time.
     *
     * @param atNanos nanoseconds since the start of the run; a past time means the current time
     * @param work the step
     */
    public void at(long atNanos, Runnable work) {
        mSteps.add(new Step(Math.max(atNanos, mNowNanos), mNextOrder, work));
        mNextOrder++;
    }

    /**
     * Schedules a step after a delay.
     *
     * @param delayNanos delay from the current virtual time, in nanoseconds
     * @param work the step
     */
    public void after(long delayNanos, Runnable work) {
        at(mNowNanos + delayNanos, work);
    }

    /**
     * Runs all steps that are due up to a time, then advances the clock to that time.
     *
     * @param untilNanos nanoseconds since the start of the run
     */
    public void runUntil(long untilNanos) {
        while (!mSteps.isEmpty() && mSteps.peek().atNanos() <= untilNanos) {
            Step step = mSteps.poll();
            mNowNanos = step.atNanos();
            step.work().run();
        }
        mNowNanos = untilNanos;
    }
}
