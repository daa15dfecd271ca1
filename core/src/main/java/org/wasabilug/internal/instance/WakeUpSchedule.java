package org.wasabilug.internal.instance;

import java.util.OptionalLong;
import java.util.PriorityQueue;

/** Merges the wake-ups that the parts ask for into as few as the shell needs. */
final class WakeUpSchedule {
    private final PriorityQueue<Long> mRequested = new PriorityQueue<>();
    private long mScheduledNanos = Long.MAX_VALUE;

    /** Notes that a part wants to be called at a moment. */
    void request(long atNanos) {
        if (atNanos != Long.MAX_VALUE) {
            mRequested.add(atNanos);
        }
    }

    /** Forgets what is due; the parts were called for it. */
    void discardDue(long nowNanos) {
        while (!mRequested.isEmpty() && mRequested.peek() <= nowNanos) {
            mRequested.poll();
        }
        if (mScheduledNanos <= nowNanos) {
            mScheduledNanos = Long.MAX_VALUE;
        }
    }

    /** The wake-up to ask the shell for; empty where an earlier one is already asked for. */
    OptionalLong next(long partsNanos) {
        long first = mRequested.isEmpty() ? partsNanos : Math.min(partsNanos, mRequested.peek());
        if (first >= mScheduledNanos) {
            return OptionalLong.empty();
        }
        mScheduledNanos = first;
        return OptionalLong.of(first);
    }
}
