package org.wasabilug.internal.retry;

import java.util.OptionalLong;
import org.wasabilug.model.PoolName;

/**
 * Decides when a hedge, a second attempt parallel to a slow first one, may run.
 *
 * <p>Hedges have their own budget per pool, so that they never consume the budget for retries.
 * Callers must only hedge stages that may be repeated.
 */
public final class HedgePolicy {
    private final AttemptBudget mBudget;

    /**
     * Creates a policy with full budgets.
     *
     * @param settings settings of the policy
     */
    public HedgePolicy(RetrySettings settings) {
        mBudget = new AttemptBudget(settings.hedgesPerFirstAttempt(), settings.reserve());
    }

    /**
     * Returns how long to wait for the first attempt before a hedge is considered.
     *
     * @param slowNanos high percentile of the stage's observed duration, in nanoseconds; 0 without
     *     observations
     * @param typicalNanos median duration of the stage, in nanoseconds
     * @param remainingNanos time left for the stage, in nanoseconds
     * @return the delay, or empty if a hedge could not finish in time or there are no observations
     */
    public OptionalLong delayNanos(long slowNanos, long typicalNanos, long remainingNanos) {
        boolean observed = slowNanos > 0;
        boolean fits = slowNanos + typicalNanos < remainingNanos;
        return observed && fits ? OptionalLong.of(slowNanos) : OptionalLong.empty();
    }

    /**
     * Acquires one hedge from the pool's budget.
     *
     * @param pool the pool
     * @return true if the hedge may run
     */
    public boolean tryHedge(PoolName pool) {
        return mBudget.trySpend(pool);
    }

    /**
     * Adds the share that one first attempt earns to the pool's budget.
     *
     * @param pool the pool
     */
    public void recordFirstAttempt(PoolName pool) {
        mBudget.earn(pool);
    }
}
