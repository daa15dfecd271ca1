package org.wasabilug.internal.retry;

import java.util.HashMap;
import java.util.Map;
import org.wasabilug.model.PoolName;

/**
 * Allows additional attempts in proportion to first attempts, separately for each pool.
 *
 * <p>Over any period, the additional attempts of a pool are at most {@code earned * firstAttempts +
 * reserve}, regardless of the number of failures.
 */
final class AttemptBudget {
    private final double mEarnedPerFirstAttempt;
    private final double mReserve;
    private final Map<PoolName, Double> mTokens = new HashMap<>();

    AttemptBudget(double earnedPerFirstAttempt, double reserve) {
        mEarnedPerFirstAttempt = earnedPerFirstAttempt;
        mReserve = reserve;
    }

    void earn(PoolName pool) {
        mTokens.put(pool, Math.min(mReserve, tokens(pool) + mEarnedPerFirstAttempt));
    }

    boolean trySpend(PoolName pool) {
        double tokens = tokens(pool);
        if (tokens < 1) {
            return false;
        }
        mTokens.put(pool, tokens - 1);
        return true;
    }

    private double tokens(PoolName pool) {
        return mTokens.getOrDefault(pool, mReserve);
    }
}
