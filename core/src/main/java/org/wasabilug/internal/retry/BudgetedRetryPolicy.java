package org.wasabilug.internal.retry;

import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.event.FailureKind;
import org.wasabilug.model.PoolName;

/**
 * Retries with growing, randomly spread delays under one budget for each pool.
 *
 * <p>Where every call fails, attempts are at most {@code 1 + earnedPerFirstAttempt} times the
 * requests, plus the reserve once. Refusals for lack of room count as no attempt: they are retried
 * with growing delays as long as time is left.
 */
public final class BudgetedRetryPolicy implements RetryPolicy {
    private static final int DELAY_GROWTH = 3;

    private final RetrySettings mSettings;
    private final UniformRandomProvider mRandom;
    private final AttemptBudget mBudget;

    /**
     * Makes a policy with full budgets.
     *
     * @param settings settings of the policy
     * @param random seeded source of the delays' spread
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
            return new RetryDecision.Abandon("the endpoint rejected the call as wrong");
        }
        // An endpoint without room did no work, so asking again costs no share of the budget.
        boolean worked = kind != FailureKind.OVERLOADED;
        if (worked && failedAttempts >= mSettings.maximumAttempts()) {
            return new RetryDecision.Abandon("too many attempts failed");
        }
        long delayNanos = delayNanos(failedAttempts);
        if (delayNanos >= remainingNanos) {
            return new RetryDecision.Abandon("too little time is left");
        }
        if (worked && !mBudget.trySpend(pool)) {
            return new RetryDecision.Abandon("the retry budget of the pool is used up");
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
