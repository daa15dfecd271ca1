package org.wasabilug.internal.instance;

import java.util.OptionalLong;
import java.util.PriorityQueue;

/** Merges the wake-ups that the parts ask for into as few as the shell needs. */
final class WakePlan {
    private final PriorityQueue<Long> mWanted = new PriorityQueue<>();
    private long mAsked = Long.MAX_VALUE;

    /** Notes that a part wants to be called at a moment. */
    void want(long atNanos) {
        if (atNanos != Long.MAX_VALUE) {
            mWanted.add(atNanos);
        }
    }

    /** Forgets what is due; the parts were called for it. */
    void passed(long nowNanos) {
        while (!mWanted.isEmpty() && mWanted.peek() <= nowNanos) {
            mWanted.poll();
        }
        if (mAsked <= nowNanos) {
            mAsked = Long.MAX_VALUE;
        }
    }

    /** The wake-up to ask the shell for; empty where an earlier one is already asked for. */
    OptionalLong next(long partsNanos) {
        long first = mWanted.isEmpty() ? partsNanos : Math.min(partsNanos, mWanted.peek());
        if (first >= mAsked) {
            return OptionalLong.empty();
        }
        mAsked = first;
        return OptionalLong.of(first);
    }
}
