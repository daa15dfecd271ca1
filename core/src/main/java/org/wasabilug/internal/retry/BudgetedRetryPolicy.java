package org.wasabilug.internal.retry;

import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.event.FailureKind;
import org.wasabilug.model.PoolName;

/**
 * Retries with exponentially increasing, randomized delays, under one budget per pool.
 *
 * <p>If every call fails, the number of attempts is at most {@code 1 + earnedPerFirstAttempt} times
 * the number of requests, plus the reserve once. Refusals for lack of capacity do not count as
 * attempts: they are retried with increasing delays as long as there is time left.
 */
public final class BudgetedRetryPolicy implements RetryPolicy {
    private static final int DELAY_GROWTH = 3;

    private final RetrySettings mSettings;
    private final UniformRandomProvider mRandom;
    private final AttemptBudget mBudget;

    /**
     * Creates a policy with full budgets.
     *
     * @param settings settings of the policy
     * @param random seeded random number generator for the delays
     */
    public BudgetedRetryPolicy(RetrySettings settings, UniformRandomProvider random) {
        mSettings = settings;
        mRandom = random;
        mBudget = new AttemptBudget(settings.earnedPerFirstAttempt(), settings.reserve());
    }

    @Override
    public RetryDecision decide(
            PoolName pool,
            int failedAttempts,
            FailureKind kind,
            long remainingNanos,
            long nowNanos) {
        if (kind == FailureKind.REJECTED) {
            return new RetryDecision.Abandon("endpoint rejected the call as invalid");
        }
        // An endpoint without capacity did no work, so a retry is not charged to the budget.
        boolean chargeable = kind != FailureKind.OVERLOADED;
        if (chargeable && failedAttempts >= mSettings.maximumAttempts()) {
            return new RetryDecision.Abandon("maximum number of attempts reached");
        }
        long delayNanos = delayNanos(failedAttempts);
        if (delayNanos >= remainingNanos) {
            return new RetryDecision.Abandon("not enough time left for another attempt");
        }
        if (chargeable && !mBudget.trySpend(pool)) {
            return new RetryDecision.Abandon("retry budget of the pool is exhausted");
        }
        return new RetryDecision.RetryAfter(delayNanos);
    }

    private long delayNanos(int failedAttempts) {
        long base = mSettings.baseDelay().toNanos();
        long maximum = mSettings.maximumDelay().toNanos();
        double upper = Math.min(maximum, base * Math.pow(DELAY_GROWTH, failedAttempts));
        return (long) (base + mRandom.nextDouble() * Math.max(0, upper - base));
    }

    @Override
    public void recordFirstAttempt(PoolName pool, long nowNanos) {
        mBudget.earn(pool);
    }
}
