package org.wasabilug.scenarios.internal.clock;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time: runs scheduled steps in the order of their time, then of their scheduling. */
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
     * Time now.
     *
     * @return in nanoseconds from the start of the run
     */
    public long nowNanos() {
        return mNowNanos;
    }

    /**
     * Schedules a step.
     *
     * @param atNanos when; a time that has passed means now
     * @param work what to do
     */
    public void at(long atNanos, Runnable work) {
        mSteps.add(new Step(Math.max(atNanos, mNowNanos), mNextOrder, work));
        mNextOrder++;
    }

    /**
     * Schedules a step after a delay.
     *
     * @param delayNanos delay in nanoseconds
     * @param work what to do
     */
    public void after(long delayNanos, Runnable work) {
        at(mNowNanos + delayNanos, work);
    }

    /**
     * Runs every step up to a time.
     *
     * @param untilNanos the time that it is afterwards
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
