package org.wasabilug.comparison;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual clock with a queue of scheduled events; simultaneous events run in order. */
final class ModelClock {
    private record Event(long atNanos, long sequence, Runnable action) {}

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long mNextSequence;
    private long mNowNanos;

    long nowNanos() {
        return mNowNanos;
    }

    void scheduleAt(long nanos, Runnable action) {
        mEvents.add(new Event(nanos, mNextSequence++, action));
    }

    void scheduleAfter(long nanos, Runnable action) {
        scheduleAt(mNowNanos + nanos, action);
    }

    void runUntil(long endNanos) {
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= endNanos) {
            Event event = mEvents.poll();
            mNowNanos = event.atNanos();
            event.action().run();
        }
    }
}
