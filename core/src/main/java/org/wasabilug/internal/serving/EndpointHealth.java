package org.wasabilug.internal.serving;

/**
 * Judges an endpoint by the answers of this instance's own requests.
 *
 * <p>Repeated failures set an endpoint aside for growing spans; after each span one request tries
 * it.
 */
public final class EndpointHealth {
    private static final double SAMPLE_WEIGHT = 0.25;
    private static final double EJECTION_FAILURE_SHARE = 0.6;
    private static final long FIRST_EJECTION_MILLIS = 1_000;
    private static final long LONGEST_EJECTION_MILLIS = 8_000;
    private static final long UNREACHABLE_MILLIS = 500;

    private static final double LEAST_SLOWNESS = 0.5;
    private static final double MOST_SLOWNESS = 10;
    private static final double FORGOTTEN_SLOWNESS = 1.5;
    private static final long FINDING_LIFE_MILLIS = 4_000;

    private double mFailureShare;
    private double mLatencyMillis;
    private double mSlowness = 1;
    private long mComparedMillis;
    private long mEjectedUntilMillis = Long.MIN_VALUE;
    private long mEjectionMillis = FIRST_EJECTION_MILLIS;

    /**
     * Notes a good answer.
     *
     * @param latencyMillis time from the send to the answer
     */
    public void recordSuccess(double latencyMillis) {
        mFailureShare *= 1 - SAMPLE_WEIGHT;
        mLatencyMillis += SAMPLE_WEIGHT * (latencyMillis - mLatencyMillis);
        if (mFailureShare < SAMPLE_WEIGHT) {
            mEjectionMillis = FIRST_EJECTION_MILLIS;
        }
    }

    /**
     * Notes how an observed time compares with the predicted one.
     *
     * @param ratio observed over predicted
     * @param nowMillis now
     */
    public void recordLatencyRatio(double ratio, long nowMillis) {
        mComparedMillis = nowMillis;
        double bounded = Math.min(MOST_SLOWNESS, Math.max(LEAST_SLOWNESS, ratio));
        mSlowness += SAMPLE_WEIGHT * (bounded - mSlowness);
    }

    /**
     * Gives the factor by which the endpoint is slower than predicted; old findings count less, so
     * that the endpoint is tried again.
     *
     * @param nowMillis now
     * @return 1 where predictions hold
     */
    public double slowness(long nowMillis) {
        boolean old = nowMillis - mComparedMillis > FINDING_LIFE_MILLIS;
        return old ? Math.min(mSlowness, FORGOTTEN_SLOWNESS) : mSlowness;
    }

    /**
     * Notes a request that the endpoint failed.
     *
     * @param nowMillis now
     */
    public void recordFailure(long nowMillis) {
        mFailureShare += SAMPLE_WEIGHT * (1 - mFailureShare);
        if (mFailureShare >= EJECTION_FAILURE_SHARE && !isEjected(nowMillis)) {
            mEjectedUntilMillis = nowMillis + mEjectionMillis;
            mEjectionMillis = Math.min(2 * mEjectionMillis, LONGEST_EJECTION_MILLIS);
        }
    }

    /**
     * Notes that no connection could be opened.
     *
     * @param nowMillis now
     */
    public void recordUnreachable(long nowMillis) {
        recordFailure(nowMillis);
        mEjectedUntilMillis = Math.max(mEjectedUntilMillis, nowMillis + UNREACHABLE_MILLIS);
    }

    /**
     * Tells whether the endpoint is set aside.
     *
     * @param nowMillis now
     * @return true while it should get no requests
     */
    public boolean isEjected(long nowMillis) {
        return nowMillis < mEjectedUntilMillis;
    }

    /**
     * Gives the share of failures among the last requests.
     *
     * @return 0 to 1
     */
    public double failureShare() {
        return mFailureShare;
    }

    /**
     * Gives the mean time of the last good answers.
     *
     * @return milliseconds; 0 before the first answer
     */
    public double latencyMillis() {
        return mLatencyMillis;
    }
}
