package org.wasabilug.tableservice.internal.http;

import java.util.concurrent.TimeUnit;

/** Bounds how many requests an instance sends a second and has in flight. */
public final class RequestBudget {
    private final int mRequestsPerSecond;
    private final int mMaximumInFlight;
    private double mTokens;
    private long mRefilledAtNanos;
    private boolean mStarted;
    private int mInFlight;

    /**
     * Creates a full budget.
     *
     * @param requestsPerSecond requests a second; as many may start at once
     * @param maximumInFlight requests in flight at once
     */
    public RequestBudget(int requestsPerSecond, int maximumInFlight) {
        mRequestsPerSecond = requestsPerSecond;
        mMaximumInFlight = maximumInFlight;
        mTokens = requestsPerSecond;
    }

    /**
     * Takes room for one request.
     *
     * @param nowNanos monotonic time in nanoseconds
     * @return false where there is none; then nothing was taken
     */
    public synchronized boolean tryAcquire(long nowNanos) {
        refill(nowNanos);
        if (mInFlight >= mMaximumInFlight || mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        mInFlight += 1;
        return true;
    }

    /** Gives the room in flight back. */
    public synchronized void release() {
        mInFlight -= 1;
    }

    private void refill(long nowNanos) {
        if (mStarted) {
            double seconds = (nowNanos - mRefilledAtNanos) / (double) TimeUnit.SECONDS.toNanos(1);
            mTokens = Math.min(mRequestsPerSecond, mTokens + seconds * mRequestsPerSecond);
        }
        mStarted = true;
        mRefilledAtNanos = nowNanos;
    }
}
