package org.wasabilug.internal.execution;

import java.util.Comparator;
import java.util.OptionalLong;
import java.util.PriorityQueue;

/** Timers of the running requests; a timer whose cause is gone does nothing when it fires. */
final class TimerQueue {
    private final PriorityQueue<Timer> mTimers =
            new PriorityQueue<>(
                    Comparator.comparingLong(Timer::atNanos).thenComparingLong(Timer::order));
    private long mNextOrder;

    /**
     * A timer.
     *
     * @param atNanos when it fires
     * @param order parts timers of the same moment
     * @param purpose what it is for
     */
    record Timer(long atNanos, long order, TimerPurpose purpose) {}

    void schedule(long atNanos, TimerPurpose purpose) {
        mTimers.add(new Timer(atNanos, mNextOrder, purpose));
        mNextOrder++;
    }

    /** Removes and returns the next timer that is due, or null where none is. */
    TimerPurpose pollDue(long nowNanos) {
        Timer first = mTimers.peek();
        if (first == null || first.atNanos() > nowNanos) {
            return null;
        }
        return mTimers.poll().purpose();
    }

    OptionalLong nextNanos() {
        Timer first = mTimers.peek();
        return first == null ? OptionalLong.empty() : OptionalLong.of(first.atNanos());
    }
}
