package org.wasabilug.internal.limit;

/** Token bucket whose rate can be changed at any time. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double mRatePerSecond;
    private double mCapacity;
    private double mTokens;
    private long mRefilledNanos;

    TokenBucket(double ratePerSecond, double capacity, long nowNanos) {
        mRatePerSecond = ratePerSecond;
        mCapacity = capacity;
        mTokens = capacity;
        mRefilledNanos = nowNanos;
    }

    void change(double ratePerSecond, double capacity, long nowNanos) {
        refill(nowNanos);
        mRatePerSecond = ratePerSecond;
        mCapacity = capacity;
        mTokens = Math.min(mTokens, capacity);
    }

    boolean tryAcquire(long nowNanos) {
        refill(nowNanos);
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }

    /** Returns the time until the next token is available, in nanoseconds. */
    long waitNanos() {
        double missing = Math.max(0, 1 - mTokens);
        return (long) Math.min(60 * NANOS_PER_SECOND, missing / mRatePerSecond * NANOS_PER_SECOND);
    }

    private void refill(long nowNanos) {
        double seconds = Math.max(0, nowNanos - mRefilledNanos) / NANOS_PER_SECOND;
        mTokens = Math.min(mCapacity, mTokens + seconds * mRatePerSecond);
        mRefilledNanos = Math.max(mRefilledNanos, nowNanos);
    }
}
