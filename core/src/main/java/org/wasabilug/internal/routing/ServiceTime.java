package org.wasabilug.internal.routing;

/**
 * Learned time of a call at an endpoint without others beside it.
 *
 * <p>What is not observed for long drifts back to the pool's time, so that an endpoint that was
 * slow once is tried again.
 */
final class ServiceTime {
    private static final double SMOOTHING = 0.2;
    private static final double MEMORY_NANOS = 10e9;

    private double mNanos;
    private long mObservedNanos;
    private boolean mKnown;

    void observe(double nanos, long nowNanos) {
        mNanos = mKnown ? mNanos + SMOOTHING * (nanos - mNanos) : nanos;
        mKnown = true;
        mObservedNanos = nowNanos;
    }

    void forget() {
        mKnown = false;
    }

    double nanos(double poolNanos, long nowNanos) {
        if (!mKnown) {
            return poolNanos;
        }
        double age = Math.max(0, nowNanos - mObservedNanos);
        double trust = MEMORY_NANOS / (MEMORY_NANOS + age);
        return poolNanos + trust * (mNanos - poolNanos);
    }
}
