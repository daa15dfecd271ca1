package org.wasabilug.internal.retry;

import org.wasabilug.internal.event.FailureKind;
import org.wasabilug.model.PoolName;

/** Decides on retries, under one budget for each pool. */
public interface RetryPolicy {
    /**
     * Decides whether to retry a failed stage.
     *
     * @param pool pool that runs the stage
     * @param failedAttempts attempts of the stage that failed so far, 1 or more
     * @param kind how the last one failed
     * @param remainingNanos time left for the stage, in nanoseconds
     * @param nowNanos monotonic time, in nanoseconds
     * @return the decision
     */
    RetryDecision decide(
            PoolName pool,
            int failedAttempts,
            FailureKind kind,
            long remainingNanos,
            long nowNanos);

    /**
     * Fills the pool's budget by the share that one first attempt earns.
     *
     * @param pool the pool
     * @param nowNanos monotonic time, in nanoseconds
     */
    void recordFirstAttempt(PoolName pool, long nowNanos);
}
