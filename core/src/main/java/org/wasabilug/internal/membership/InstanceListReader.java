package org.wasabilug.internal.membership;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.event.Component;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.OperationId;

/** Reads the platform's list again and again, more seldom the more instances share it. */
final class InstanceListReader {
    private static final long SHORTEST_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long LONGEST_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long INTERVAL_PER_INSTANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long ANSWER_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(15);
    private static final int JITTER_PARTS = 5;
    private static final long LONGEST_PAUSE_NANOS = LONGEST_INTERVAL_NANOS;

    private final UniformRandomProvider mRandom;
    private boolean mWaiting;
    private boolean mAvailable;
    private long mOperation;
    private long mNextNanos;
    private long mFailurePauseNanos = SHORTEST_INTERVAL_NANOS;
    private boolean mStarted;

    InstanceListReader(UniformRandomProvider random) {
        mRandom = random;
    }

    /**
     * The read that is due now, if one is. The first goes out at once, since an instance that has
     * just started would otherwise send work to endpoints that are leaving.
     */
    Optional<InstanceAction> onTime(long nowNanos) {
        if (!mStarted) {
            mStarted = true;
            mNextNanos = nowNanos;
        }
        if (nowNanos - mNextNanos < 0) {
            return Optional.empty();
        }
        if (mWaiting) {
            mAvailable = false;
        }
        mWaiting = true;
        mOperation++;
        mNextNanos = nowNanos + ANSWER_LIMIT_NANOS;
        return Optional.of(
                new InstanceAction.ReadInstanceList(
                        new OperationId(Component.MEMBERSHIP, mOperation)));
    }

    /** Takes an answer; false where it is not the one that is waited for. */
    boolean answered(OperationId operation, boolean available, int instances, long nowNanos) {
        if (!mWaiting
                || operation.part() != Component.MEMBERSHIP
                || operation.number() != mOperation) {
            return false;
        }
        mWaiting = false;
        mAvailable = available;
        mNextNanos = nowNanos + (available ? intervalNanos(instances) : failurePauseNanos());
        return true;
    }

    private long intervalNanos(int instances) {
        mFailurePauseNanos = SHORTEST_INTERVAL_NANOS;
        long intervalNanos =
                Math.clamp(
                        instances * INTERVAL_PER_INSTANCE_NANOS,
                        SHORTEST_INTERVAL_NANOS,
                        LONGEST_INTERVAL_NANOS);
        return intervalNanos - mRandom.nextLong(intervalNanos / JITTER_PARTS);
    }

    private long failurePauseNanos() {
        long pauseNanos = mRandom.nextLong(mFailurePauseNanos / 2, mFailurePauseNanos);
        mFailurePauseNanos = Math.min(mFailurePauseNanos * 2, LONGEST_PAUSE_NANOS);
        return pauseNanos;
    }

    /** When the next read is due. */
    long nextNanos() {
        return mNextNanos;
    }

    boolean isAvailable() {
        return mAvailable;
    }
}
