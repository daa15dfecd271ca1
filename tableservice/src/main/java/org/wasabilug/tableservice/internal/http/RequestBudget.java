package org.wasabilug.tableservice.internal.http;

import java.util.concurrent.TimeUnit;

/** Limits the rate of an instance's requests and their number in flight, with a token bucket. */
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
     * @param requestsPerSecond requests per second; also the maximum burst
     * @param maximumInFlight maximum number of requests in flight
     */
    public RequestBudget(int requestsPerSecond, int maximumInFlight) {
        mRequestsPerSecond = requestsPerSecond;
        mMaximumInFlight = maximumInFlight;
        mTokens = requestsPerSecond;
    }

    /**
     * Reserves capacity for one request.
     *
     * @param nowNanos monotonic time in nanoseconds
     * @return false if there is no capacity; nothing is reserved then
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

    /** Ends a request in flight. */
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
