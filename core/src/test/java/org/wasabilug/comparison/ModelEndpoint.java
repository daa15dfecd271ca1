package org.wasabilug.comparison;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import org.wasabilug.model.Endpoint;
import org.wasabilug.port.LoadReport;

/** An endpoint that runs a fixed number of calls concurrently and queues up to as many more. */
final class ModelEndpoint {
    /** A call that the endpoint runs or has queued. */
    static final class Work {
        private final long mWorkNanos;
        private final Runnable mOnFinished;
        private long mStartedNanos;

        Work(long workNanos, Runnable onFinished) {
            mWorkNanos = workNanos;
            mOnFinished = onFinished;
        }
    }

    private final Endpoint mEndpoint;
    private final ModelClock mClock;
    private final double mSlowFactor;
    private final Set<Work> mRunning = new HashSet<>();
    private final ArrayDeque<Work> mQueued = new ArrayDeque<>();

    ModelEndpoint(Endpoint endpoint, ModelClock clock, double slowFactor) {
        mEndpoint = endpoint;
        mClock = clock;
        mSlowFactor = slowFactor;
    }

    Endpoint endpoint() {
        return mEndpoint;
    }

    /** Accepts a call; returns false if the queue is full. */
    boolean tryAccept(Work work) {
        if (mQueued.size() >= ModelSettings.SLOTS) {
            return false;
        }
        mQueued.add(work);
        startQueued();
        return true;
    }

    private void startQueued() {
        while (mRunning.size() < ModelSettings.SLOTS && !mQueued.isEmpty()) {
            Work work = mQueued.poll();
            work.mStartedNanos = mClock.nowNanos();
            mRunning.add(work);
            mClock.scheduleAfter((long) (work.mWorkNanos * mSlowFactor), () -> finish(work));
        }
    }

    private void finish(Work work) {
        if (mRunning.remove(work)) {
            startQueued();
            work.mOnFinished.run();
        }
    }

    /** Cancels a call; returns the work wasted on it, in nanoseconds at normal speed. */
    double cancel(Work work) {
        mQueued.remove(work);
        if (!mRunning.remove(work)) {
            return 0;
        }
        startQueued();
        return (mClock.nowNanos() - work.mStartedNanos) / mSlowFactor;
    }

    LoadReport report(long ageNanos) {
        return new LoadReport(1, false, mRunning.size(), mQueued.size(), ageNanos / 1_000_000);
    }
}
