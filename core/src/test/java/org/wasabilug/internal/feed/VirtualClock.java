package org.wasabilug.internal.feed;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in virtual time, in a fixed order. */
final class VirtualClock {
    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::atNanos).thenComparingLong(Task::number));
    private long mNowNanos;
    private long mLastNumber;

    long nowNanos() {
        return mNowNanos;
    }

    void schedule(long atNanos, Runnable action) {
        mLastNumber++;
        mTasks.add(new Task(Math.max(atNanos, mNowNanos), mLastNumber, action));
    }

    void runFor(long nanos) {
        long endNanos = mNowNanos + nanos;
        while (!mTasks.isEmpty() && mTasks.peek().atNanos() <= endNanos) {
            Task task = mTasks.poll();
            mNowNanos = task.atNanos();
            task.action().run();
        }
        mNowNanos = endNanos;
    }

    private record Task(long atNanos, long number, Runnable action) {}
}
