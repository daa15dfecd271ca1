package org.wasabilug.comparison;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time with the events that are due. */
final class ModelClock {
    private record Event(long atNanos, long number, Runnable action) {}

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private long mNumber;
    private long mNowNanos;

    long now() {
        return mNowNanos;
    }

    void at(long nanos, Runnable action) {
        mEvents.add(new Event(nanos, mNumber++, action));
    }

    void after(long nanos, Runnable action) {
        at(mNowNanos + nanos, action);
    }

    void runUntil(long endNanos) {
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= endNanos) {
            Event event = mEvents.poll();
            mNowNanos = event.atNanos();
            event.action().run();
        }
    }
}
