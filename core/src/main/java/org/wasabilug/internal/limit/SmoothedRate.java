package org.wasabilug.internal.limit;

/** Exponentially smoothed rate of events per second. */
final class SmoothedRate {
    private static final double TIME_CONSTANT_NANOS = 1e9;
    private static final double NANOS_PER_SECOND = 1e9;

    private double mWeight;
    private long mUpdatedNanos;

    void count(long nowNanos) {
        decay(nowNanos);
        mWeight += 1;
    }

    double perSecond(long nowNanos) {
        decay(nowNanos);
        return mWeight / (TIME_CONSTANT_NANOS / NANOS_PER_SECOND);
    }

    private void decay(long nowNanos) {
        double elapsed = Math.max(0, nowNanos - mUpdatedNanos);
        mWeight *= Math.exp(-elapsed / TIME_CONSTANT_NANOS);
        mUpdatedNanos = Math.max(mUpdatedNanos, nowNanos);
    }
}
