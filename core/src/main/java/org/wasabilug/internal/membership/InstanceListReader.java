package org.wasabilug.internal.membership;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.event.Component;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.OperationId;

/** Polls the platform's instance list, at an interval that grows with the number of instances. */
final class InstanceListReader {
    private static final long MIN_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long INTERVAL_PER_INSTANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long ANSWER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(15);
    private static final int JITTER_DIVISOR = 5;
    private static final long MAX_BACKOFF_NANOS = MAX_INTERVAL_NANOS;

    private final UniformRandomProvider mRandom;
    private boolean mAwaitingAnswer;
    private boolean mAvailable;
    private long mOperation;
    private long mNextReadNanos;
    private long mBackoffNanos = MIN_INTERVAL_NANOS;
    private boolean mStarted;

    InstanceListReader(UniformRandomProvider random) {
        mRandom = random;
    }

    /**
     * Returns the read that is due, if any. The first read is sent immediately, because an instance
     * that has just started would otherwise send work to endpoints that are leaving.
     */
    Optional<InstanceAction> tick(long nowNanos) {
        if (!mStarted) {
            mStarted = true;
            mNextReadNanos = nowNanos;
        }
        if (nowNanos - mNextReadNanos < 0) {
            return Optional.empty();
        }
        if (mAwaitingAnswer) {
            mAvailable = false;
        }
        mAwaitingAnswer = true;
        mOperation++;
        mNextReadNanos = nowNanos + ANSWER_TIMEOUT_NANOS;
        return Optional.of(
                new InstanceAction.ReadInstanceList(
                        new OperationId(Component.MEMBERSHIP, mOperation)));
    }

    /** Handles an answer; returns false if it does not belong to the outstanding read. */
    boolean onAnswer(OperationId operation, boolean available, int instances, long nowNanos) {
        if (!mAwaitingAnswer
                || operation.component() != Component.MEMBERSHIP
                || operation.number() != mOperation) {
            return false;
        }
        mAwaitingAnswer = false;
        mAvailable = available;
        mNextReadNanos = nowNanos + (available ? intervalNanos(instances) : nextBackoffNanos());
        return true;
    }

    private long intervalNanos(int instances) {
        mBackoffNanos = MIN_INTERVAL_NANOS;
        long intervalNanos =
                Math.clamp(
                        instances * INTERVAL_PER_INSTANCE_NANOS,
                        MIN_INTERVAL_NANOS,
                        MAX_INTERVAL_NANOS);
        return intervalNanos - mRandom.nextLong(intervalNanos / JITTER_DIVISOR);
    }

    private long nextBackoffNanos() {
        long pauseNanos = mRandom.nextLong(mBackoffNanos / 2, mBackoffNanos);
        mBackoffNanos = Math.min(mBackoffNanos * 2, MAX_BACKOFF_NANOS);
        return pauseNanos;
    }

    /** Returns when the next read is due, in nanoseconds of monotonic time. */
    long nextReadNanos() {
        return mNextReadNanos;
    }

    boolean isAvailable() {
        return mAvailable;
    }
}
