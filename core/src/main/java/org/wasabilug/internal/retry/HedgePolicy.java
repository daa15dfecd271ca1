package org.wasabilug.internal.retry;

import java.util.OptionalLong;
import org.wasabilug.model.PoolName;

/**
 * Decides when a second attempt may run beside a slow first one.
 *
 * <p>Hedges have a budget of their own for each pool, so that they never take the retries' share.
 * The caller must only ask for stages that may be repeated.
 */
public final class HedgePolicy {
    private final AttemptBudget mBudget;

    /**
     * Makes a policy with full budgets.
     *
     * @param settings settings of the policy
     */
    public HedgePolicy(RetrySettings settings) {
        mBudget = new AttemptBudget(settings.hedgesPerFirstAttempt(), settings.reserve());
    }

    /**
     * Tells how long to wait for the first attempt before asking for a hedge.
     *
     * @param slowNanos time within which nearly all calls of the stage end, as learned, in
     *     nanoseconds; 0 where nothing is learned yet
     * @param typicalNanos median time of the stage, in nanoseconds
     * @param remainingNanos time left for the stage, in nanoseconds
     * @return the delay; empty where a hedge could not end in time
     */
    public OptionalLong delayNanos(long slowNanos, long typicalNanos, long remainingNanos) {
        boolean learned = slowNanos > 0;
        boolean fits = slowNanos + typicalNanos < remainingNanos;
        return learned && fits ? OptionalLong.of(slowNanos) : OptionalLong.empty();
    }

    /**
     * Takes one hedge from the pool's budget.
     *
     * @param pool the pool
     * @return true where the hedge may run
     */
    public boolean tryHedge(PoolName pool) {
        return mBudget.trySpend(pool);
    }

    /**
     * Fills the pool's budget by the share that one first attempt earns.
     *
     * @param pool the pool
     */
    public void recordFirstAttempt(PoolName pool) {
        mBudget.earn(pool);
    }
}
