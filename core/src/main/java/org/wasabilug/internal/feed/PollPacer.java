package org.wasabilug.internal.feed;

import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Paces the reads of one instance so that all instances together stay within a share of the
 * platform's rate limit, and backs off while the platform does not answer.
 */
final class PollPacer {
    private static final long MIN_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long INTERVAL_PER_INSTANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final long INITIAL_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(8);
    private static final long START_SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final int JITTER_DIVISOR = 5;

    private final UniformRandomProvider mRandom;
    private long mIntervalNanos = MIN_INTERVAL_NANOS;
    private long mBackoffNanos = INITIAL_BACKOFF_NANOS;
    private boolean mReachable;

    PollPacer(UniformRandomProvider random) {
        mRandom = random;
    }

    void setInstanceCount(int count) {
        long intervalNanos = count * INTERVAL_PER_INSTANCE_NANOS;
        mIntervalNanos = Math.clamp(intervalNanos, MIN_INTERVAL_NANOS, MAX_INTERVAL_NANOS);
    }

    /** Returns the pause after an answer that left nothing more to read. */
    long intervalNanos() {
        long jitterNanos = mIntervalNanos / JITTER_DIVISOR;
        return mIntervalNanos + mRandom.nextLong(-jitterNanos, jitterNanos);
    }

    /**
     * Returns the delay of the first read, which spreads out instances that start at the same time.
     */
    long startDelayNanos() {
        return mRandom.nextLong(START_SPREAD_NANOS);
    }

    void onAnswer() {
        mReachable = true;
        mBackoffNanos = INITIAL_BACKOFF_NANOS;
    }

    /** Records a failure and returns the backoff before the next attempt. */
    long backoffAfterFailureNanos() {
        mReachable = false;
        long pauseNanos = mRandom.nextLong(mBackoffNanos / 2, mBackoffNanos);
        mBackoffNanos = Math.min(mBackoffNanos * 2, MAX_BACKOFF_NANOS);
        return pauseNanos;
    }

    boolean isReachable() {
        return mReachable;
    }
}
