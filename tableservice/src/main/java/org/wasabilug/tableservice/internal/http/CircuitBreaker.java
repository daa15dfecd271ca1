package org.wasabilug.tableservice.internal.http;

/** Holds requests back for a while after several failures in a row, then tries one. */
public final class CircuitBreaker {
    private final int mFailuresToOpen;
    private final long mOpenNanos;
    private int mFailures;
    private long mRetryAtNanos;
    private boolean mTrialRunning;

    /**
     * Creates a closed breaker.
     *
     * @param failuresToOpen failures without a success in between that open it
     * @param openNanos time until a trial request, in nanoseconds
     */
    public CircuitBreaker(int failuresToOpen, long openNanos) {
        mFailuresToOpen = failuresToOpen;
        mOpenNanos = openNanos;
    }

    /**
     * Asks whether a request may be sent.
     *
     * @param nowNanos monotonic time in nanoseconds
     * @return true where it may; {@link #recordResult} has to follow
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
     * Reports what came of a request.
     *
     * @param alive true where the service answered and is well
     * @param nowNanos monotonic time in nanoseconds
     */
    public synchronized void recordResult(boolean alive, long nowNanos) {
        mTrialRunning = false;
        if (alive) {
            mFailures = 0;
            return;
        }
        mFailures += 1;
        mRetryAtNanos = nowNanos + mOpenNanos;
    }
}
