package org.wasabilug.internal.routing;

/**
 * Estimated duration of a call at an endpoint without concurrent calls.
 *
 * <p>Without new samples the estimate drifts back to the pool's average, so that an endpoint that
 * was slow once is tried again.
 */
final class ServiceTime {
    private static final double SMOOTHING = 0.2;
    private static final double HALF_TRUST_AGE_NANOS = 10e9;

    private double mNanos;
    private long mObservedNanos;
    private boolean mKnown;

    void addSample(double nanos, long nowNanos) {
        mNanos = mKnown ? mNanos + SMOOTHING * (nanos - mNanos) : nanos;
        mKnown = true;
        mObservedNanos = nowNanos;
    }

    void reset() {
        mKnown = false;
    }

    double nanos(double poolNanos, long nowNanos) {
        if (!mKnown) {
            return poolNanos;
        }
        double age = Math.max(0, nowNanos - mObservedNanos);
        double trust = HALF_TRUST_AGE_NANOS / (HALF_TRUST_AGE_NANOS + age);
        return poolNanos + trust * (mNanos - poolNanos);
    }
}
