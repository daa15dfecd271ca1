package org.wasabilug.internal.routing;

/**
 * Failures of one endpoint, and its ejection because of them.
 *
 * <p>An ejection ends with a trial: one attempt at a time is sent until one succeeds or fails.
 */
final class EndpointHealth {
    /** Whether an endpoint accepts attempts. */
    enum State {
        USABLE,
        EJECTED,
        ON_TRIAL
    }

    private static final int CONSECUTIVE_FAILURES = 5;
    private static final double FAILURE_RATE = 0.5;
    private static final int MINIMUM_ATTEMPTS = 10;
    private static final double SMOOTHING = 0.1;
    private static final int MAXIMUM_DOUBLINGS = 20;

    private final long mEjectionNanos;
    private final long mMaximumNanos;
    private boolean mEjected;
    private long mEjectedUntilNanos;
    private int mEjections;
    private int mConsecutive;
    private int mAttempts;
    private double mFailureRate;

    EndpointHealth(long ejectionNanos, long maximumNanos) {
        mEjectionNanos = ejectionNanos;
        mMaximumNanos = maximumNanos;
    }

    State state(long nowNanos) {
        if (!mEjected) {
            return State.USABLE;
        }
        return nowNanos < mEjectedUntilNanos ? State.EJECTED : State.ON_TRIAL;
    }

    /** Records a success and returns whether it ended an ejection. */
    boolean recordSuccess() {
        mConsecutive = 0;
        count(0);
        boolean ended = mEjected;
        if (ended) {
            mEjected = false;
            mFailureRate = 0;
            mAttempts = 0;
        }
        if (mFailureRate < FAILURE_RATE / 2 && mAttempts >= MINIMUM_ATTEMPTS) {
            mEjections = 0;
        }
        return ended;
    }

    void recordFailure(double weight, long nowNanos) {
        count(weight);
        if (weight >= 1) {
            mConsecutive++;
        }
        if (state(nowNanos) == State.ON_TRIAL) {
            eject(nowNanos);
        }
    }

    private void count(double weight) {
        mAttempts++;
        mFailureRate += SMOOTHING * (weight - mFailureRate);
    }

    boolean shouldEject() {
        boolean highFailureRate = mAttempts >= MINIMUM_ATTEMPTS && mFailureRate > FAILURE_RATE;
        return !mEjected && (mConsecutive >= CONSECUTIVE_FAILURES || highFailureRate);
    }

    void eject(long nowNanos) {
        mEjected = true;
        mEjections = Math.min(MAXIMUM_DOUBLINGS, mEjections + 1);
        long nanos = mEjectionNanos << (mEjections - 1);
        mEjectedUntilNanos = nowNanos + Math.min(mMaximumNanos, nanos);
        mConsecutive = 0;
    }

    boolean isEjected() {
        return mEjected;
    }
}
