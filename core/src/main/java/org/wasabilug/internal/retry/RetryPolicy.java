package org.wasabilug.internal.retry;

import org.wasabilug.internal.event.FailureKind;
import org.wasabilug.model.PoolName;

/** Decides about retries, under one budget per pool. */
public interface RetryPolicy {
    /**
     * Decides whether to retry a failed stage.
     *
     * @param pool pool that runs the stage
     * @param failedAttempts number of failed attempts of the stage, at least 1
     * @param kind kind of the last failure
     * @param remainingNanos time left for the stage, in nanoseconds
     * @param nowNanos current monotonic time, in nanoseconds
     * @return the decision
     */
    RetryDecision decide(
            PoolName pool,
            int failedAttempts,
            FailureKind kind,
            long remainingNanos,
            long nowNanos);

    /**
     * Adds the share that one first attempt earns to the pool's budget.
     *
     * @param pool the pool
     * @param nowNanos current monotonic time, in nanoseconds
     */
    void recordFirstAttempt(PoolName pool, long nowNanos);
}
