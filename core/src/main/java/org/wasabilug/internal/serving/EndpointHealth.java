package org.wasabilug.internal.serving;

/**
 * Health of an endpoint, judged from the responses to requests of this instance.
 *
 * <p>Repeated failures eject the endpoint for increasing periods. After each period it is tried
 * again.
 */
public final class EndpointHealth {
    private static final double SAMPLE_WEIGHT = 0.25;
    private static final double EJECTION_FAILURE_SHARE = 0.6;
    private static final long FIRST_EJECTION_MILLIS = 1_000;
    private static final long MAX_EJECTION_MILLIS = 8_000;
    private static final long UNREACHABLE_MILLIS = 500;

    private static final double MIN_SLOWNESS = 0.5;
    private static final double MAX_SLOWNESS = 10;
    private static final double MAX_STALE_SLOWNESS = 1.5;
    private static final long SLOWNESS_EXPIRY_MILLIS = 4_000;

    private double mFailureShare;
    private double mLatencyMillis;
    private double mSlowness = 1;
    private long mSlownessUpdatedMillis;
    private long mEjectedUntilMillis = Long.MIN_VALUE;
    private long mEjectionMillis = FIRST_EJECTION_MILLIS;

    /**
     * Records a successful response.
     *
     * @param latencyMillis time from sending the request to the response, in milliseconds
     */
    public void recordSuccess(double latencyMillis) {
        mFailureShare *= 1 - SAMPLE_WEIGHT;
        mLatencyMillis += SAMPLE_WEIGHT * (latencyMillis - mLatencyMillis);
        if (mFailureShare < SAMPLE_WEIGHT) {
            mEjectionMillis = FIRST_EJECTION_MILLIS;
        }
    }

    /**
     * Records the ratio of an observed latency to the predicted one.
     *
     * @param ratio observed latency divided by predicted latency
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordLatencyRatio(double ratio, long nowMillis) {
        mSlownessUpdatedMillis = nowMillis;
        double bounded = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, ratio));
        mSlowness += SAMPLE_WEIGHT * (bounded - mSlowness);
    }

    /**
     * Returns the factor by which the endpoint is slower than predicted. A stale factor is capped,
     * so that a slow endpoint is tried again.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return 1 if predictions are accurate
     */
    public double slowness(long nowMillis) {
        boolean stale = nowMillis - mSlownessUpdatedMillis > SLOWNESS_EXPIRY_MILLIS;
        return stale ? Math.min(mSlowness, MAX_STALE_SLOWNESS) : mSlowness;
    }

    /**
     * Records a failed request.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordFailure(long nowMillis) {
        mFailureShare += SAMPLE_WEIGHT * (1 - mFailureShare);
        if (mFailureShare >= EJECTION_FAILURE_SHARE && !isEjected(nowMillis)) {
            mEjectedUntilMillis = nowMillis + mEjectionMillis;
            mEjectionMillis = Math.min(2 * mEjectionMillis, MAX_EJECTION_MILLIS);
        }
    }

    /**
     * Records that no connection could be opened.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordUnreachable(long nowMillis) {
        recordFailure(nowMillis);
        mEjectedUntilMillis = Math.max(mEjectedUntilMillis, nowMillis + UNREACHABLE_MILLIS);
    }

    /**
     * Returns whether the endpoint is ejected and should receive no requests.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public boolean isEjected(long nowMillis) {
        return nowMillis < mEjectedUntilMillis;
    }

    /** Returns the moving average of the share of failed requests, from 0 to 1. */
    public double failureShare() {
        return mFailureShare;
    }

    /**
     * Returns the moving average of the latency of successful responses, in milliseconds; 0 before
     * the first response.
     */
    public double latencyMillis() {
        return mLatencyMillis;
    }
}
