package org.wasabilug.internal.simulation;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs scheduled tasks in order of their time on a simulated clock. */
public final class VirtualTime {
    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::atNanos).thenComparingLong(Task::sequence));
    private long mNowNanos;
    private long mSequence;

    private record Task(long atNanos, long sequence, Runnable body) {}

    public long nowNanos() {
        return mNowNanos;
    }

    public void after(long delayNanos, Runnable body) {
        mTasks.add(new Task(mNowNanos + delayNanos, mSequence++, body));
    }

    public void every(Duration interval, Runnable body) {
        after(
                interval.toNanos(),
                () -> {
                    body.run();
                    every(interval, body);
                });
    }

    public void runFor(Duration duration) {
        long end = mNowNanos + duration.toNanos();
        while (!mTasks.isEmpty() && mTasks.peek().atNanos() <= end) {
            Task task = mTasks.remove();
            mNowNanos = task.atNanos();
            task.body().run();
        }
        mNowNanos = end;
    }
}
