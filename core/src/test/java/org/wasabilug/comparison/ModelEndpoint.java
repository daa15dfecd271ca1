package org.wasabilug.comparison;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import org.wasabilug.model.Endpoint;
import org.wasabilug.port.LoadReport;

/** An endpoint that runs a fixed number of calls at once and queues as many again. */
final class ModelEndpoint {
    /** A call at the endpoint. */
    static final class Work {
        private final long mNanos;
        private final Runnable mDone;
        private long mStartedNanos;

        Work(long nanos, Runnable done) {
            mNanos = nanos;
            mDone = done;
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

    /** Takes a call; false where there is no room. */
    boolean take(Work work) {
        if (mQueued.size() >= ModelSettings.SLOTS) {
            return false;
        }
        mQueued.add(work);
        fill();
        return true;
    }

    private void fill() {
        while (mRunning.size() < ModelSettings.SLOTS && !mQueued.isEmpty()) {
            Work work = mQueued.poll();
            work.mStartedNanos = mClock.now();
            mRunning.add(work);
            mClock.after((long) (work.mNanos * mSlowFactor), () -> finish(work));
        }
    }

    private void finish(Work work) {
        if (mRunning.remove(work)) {
            fill();
            work.mDone.run();
        }
    }

    /** Cancels a call; returns the work done on it in vain, as a share of the slots' work. */
    double cancel(Work work) {
        mQueued.remove(work);
        if (!mRunning.remove(work)) {
            return 0;
        }
        fill();
        return (mClock.now() - work.mStartedNanos) / mSlowFactor;
    }

    LoadReport report(long ageNanos) {
        return new LoadReport(1, false, mRunning.size(), mQueued.size(), ageNanos / 1_000_000);
    }
}
