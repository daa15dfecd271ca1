package org.wasabilug.internal.execution;

import java.util.Comparator;
import java.util.OptionalLong;
import java.util.PriorityQueue;

/**
 * Timers of the requests in flight. Timers are not cancelled; one whose request or attempt has
 * ended has no effect when it fires.
 */
final class TimerQueue {
    private final PriorityQueue<Timer> mTimers =
            new PriorityQueue<>(
                    Comparator.comparingLong(Timer::atNanos).thenComparingLong(Timer::order));
    private long mNextOrder;

    /**
     * A timer.
     *
     * @param atNanos time at which it fires, monotonic, in nanoseconds
     * @param order insertion order, which breaks ties between timers of the same time
     * @param purpose reason for the timer
     */
    record Timer(long atNanos, long order, TimerPurpose purpose) {}

    void schedule(long atNanos, TimerPurpose purpose) {
        mTimers.add(new Timer(atNanos, mNextOrder, purpose));
        mNextOrder++;
    }

    /** Removes the next due timer and returns its purpose; null if none is due. */
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
