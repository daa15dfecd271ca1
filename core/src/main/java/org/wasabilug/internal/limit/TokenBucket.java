package org.wasabilug.internal.limit;

/** Token bucket whose rate may change while it runs. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double mRatePerSecond;
    private double mCapacity;
    private double mTokens;
    private long mFilledNanos;

    TokenBucket(double ratePerSecond, double capacity, long nowNanos) {
        mRatePerSecond = ratePerSecond;
        mCapacity = capacity;
        mTokens = capacity;
        mFilledNanos = nowNanos;
    }

    void change(double ratePerSecond, double capacity, long nowNanos) {
        fill(nowNanos);
        mRatePerSecond = ratePerSecond;
        mCapacity = capacity;
        mTokens = Math.min(mTokens, capacity);
    }

    boolean tryTake(long nowNanos) {
        fill(nowNanos);
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }

    /** Time until the next token, in nanoseconds. */
    long waitNanos() {
        double missing = Math.max(0, 1 - mTokens);
        return (long) Math.min(60 * NANOS_PER_SECOND, missing / mRatePerSecond * NANOS_PER_SECOND);
    }

    private void fill(long nowNanos) {
        double seconds = Math.max(0, nowNanos - mFilledNanos) / NANOS_PER_SECOND;
        mTokens = Math.min(mCapacity, mTokens + seconds * mRatePerSecond);
        mFilledNanos = Math.max(mFilledNanos, nowNanos);
    }
}
