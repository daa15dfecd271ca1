package org.wasabilug.tableservice.internal.http;

/** Blocks requests for a time after several consecutive failures, then allows one trial request. */
public final class CircuitBreaker {
    private final int mFailuresToOpen;
    private final long mOpenNanos;
    private int mFailures;
    private long mRetryAtNanos;
    private boolean mTrialRunning;

    /**
     * Creates a closed circuit breaker.
     *
     * @param failuresToOpen number of consecutive failures that open it
     * @param openNanos time until a trial request is allowed, in nanoseconds
     */
    public CircuitBreaker(int failuresToOpen, long openNanos) {
        mFailuresToOpen = failuresToOpen;
        mOpenNanos = openNanos;
    }

    /**
     * Returns whether a request may be sent.
     *
     * @param nowNanos monotonic time in nanoseconds
     * @return true if it may; its result must then be passed to {@link #recordResult}
     */
    public synchronized boolean tryAcquire(long nowNanos) {
        if (mFailures < mFailuresToOpen) {
            return true;
        }
        if (mTrialRunning || nowNanos - mRetryAtNanos < 0) {
            return false;
        }
        mTrialRunning = true;
        return true;
    }

    /**
     * Records the result of a request.
     *
     * @param healthy true if the service answered without a server error
     * @param nowNanos monotonic time in nanoseconds
     */
    public synchronized void recordResult(boolean healthy, long nowNanos) {
        mTrialRunning = false;
        if (healthy) {
            mFailures = 0;
            return;
        }
        mFailures += 1;
        mRetryAtNanos = nowNanos + mOpenNanos;
    }
}
