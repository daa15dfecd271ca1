package org.wasabilug.internal.serving;

import java.util.HashMap;
import java.util.Map;

/**
 * This instance's share of the retries that all instances together may send to each service.
 *
 * <p>The share depends only on the number of instances, so the common limit also holds for
 * instances that cannot reach each other. What was used is not kept beyond the process, so a
 * process opens the reserve only when no process before it can have used it within the same window.
 */
public final class RetryBudget {
    /**
     * Leaves a margin because the time windows of this instance and of the receiver that counts
     * arrivals are not aligned.
     */
    private static final double SAFETY_FACTOR = 0.8;

    private final RetryLimits mLimits;
    private final Map<String, Counts> mServices = new HashMap<>();
    private long mReserveFromMillis = Long.MAX_VALUE;

    /**
     * Creates an unused budget whose reserve is closed.
     *
     * @param limits limits for all instances together
     */
    public RetryBudget(RetryLimits limits) {
        mLimits = limits;
    }

    /**
     * Opens the reserve; until then only what first attempts have earned may be used.
     *
     * @param fromMillis monotonic time from which it may be used, in milliseconds
     */
    public void openReserve(long fromMillis) {
        mReserveFromMillis = fromMillis;
    }

    /**
     * Records the first attempt of a request.
     *
     * @param service service to which the request was sent
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordFirstAttempt(String service, long nowMillis) {
        counts(service).mFirstAttempts.add(nowMillis);
    }

    /**
     * Acquires retries if the budget allows all of them.
     *
     * @param service service to which they would be sent
     * @param count number of retries
     * @param instances number of instances that may share the limit
     * @param nowMillis current monotonic time, in milliseconds
     * @return whether they may be sent, and of how many
     */
    public BudgetDecision tryAcquire(String service, int count, int instances, long nowMillis) {
        Counts counts = counts(service);
        int acquired = counts.mRetries.count(nowMillis);
        double limit = limit(counts, instances, nowMillis);
        boolean granted = acquired + count <= limit;
        for (int retry = 0; granted && retry < count; retry++) {
            counts.mRetries.add(nowMillis);
        }
        return new BudgetDecision(granted, acquired, limit, instances);
    }

    private double limit(Counts counts, int instances, long nowMillis) {
        double earned = mLimits.ratio() * counts.mFirstAttempts.count(nowMillis);
        boolean open = nowMillis >= mReserveFromMillis;
        double reserve = open ? mLimits.reserve() / Math.max(1, instances) : 0;
        return SAFETY_FACTOR * (earned + reserve);
    }

    private Counts counts(String service) {
        return mServices.computeIfAbsent(service, name -> new Counts(mLimits.windowMillis()));
    }

    /** Attempts sent to one service within the current window. */
    private static final class Counts {
        private final SlidingWindow mFirstAttempts;
        private final SlidingWindow mRetries;

        Counts(long windowMillis) {
            mFirstAttempts = new SlidingWindow(windowMillis);
            mRetries = new SlidingWindow(windowMillis);
        }
    }
}
