package org.wasabilug.internal.instance;

import java.util.OptionalLong;
import java.util.PriorityQueue;

/** Merges the wake-ups requested by the components so that the runtime schedules few of them. */
final class WakeUpSchedule {
    private final PriorityQueue<Long> mRequested = new PriorityQueue<>();
    private long mScheduledNanos = Long.MAX_VALUE;

    /** Requests a wake-up at the given time; {@link Long#MAX_VALUE} requests none. */
    void request(long atNanos) {
        if (atNanos != Long.MAX_VALUE) {
            mRequested.add(atNanos);
        }
    }

    /** Discards wake-ups that are due. */
    void discardDue(long nowNanos) {
        while (!mRequested.isEmpty() && mRequested.peek() <= nowNanos) {
            mRequested.poll();
        }
        if (mScheduledNanos <= nowNanos) {
            mScheduledNanos = Long.MAX_VALUE;
        }
    }

    /**
     * Returns the wake-up to schedule; empty if one at or before that time is already scheduled.
     */
    OptionalLong next(long componentsNanos) {
        long first =
                mRequested.isEmpty()
                        ? componentsNanos
                        : Math.min(componentsNanos, mRequested.peek());
        if (first >= mScheduledNanos) {
            return OptionalLong.empty();
        }
        mScheduledNanos = first;
        return OptionalLong.of(first);
    }
}
