package org.wasabilug.internal.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
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

    /** Share of the limit that retries may use which no failure calls for. */
    private static final double SPARE_SHARE = 0.5;

    private final RetryLimits mLimits;
    private final Map<String, RetryCounts> mServices = new HashMap<>();
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
        counts(service).recordFirstAttempt(nowMillis);
    }

    /**
     * Reserves retries if the budget allows all of them. Those that are reserved count however long
     * they wait, so that what waited is not sent beside what a later window allows.
     *
     * @param service service to which they would be sent
     * @param count number of retries, at least 1
     * @param instances number of instances that may share the limit
     * @param nowMillis current monotonic time, in milliseconds
     * @return the permits, which the caller ends
     */
    public BudgetDecision tryReserve(String service, int count, int instances, long nowMillis) {
        return tryReserve(service, count, instances, 1, nowMillis);
    }

    /**
     * Reserves a retry that no failure calls for, if half of the budget stays free for failures.
     *
     * @param service service to which it would be sent
     * @param instances number of instances that may share the limit
     * @param nowMillis current monotonic time, in milliseconds
     * @return the permit, which the caller ends; the limit of the decision is half the usual one
     */
    public BudgetDecision tryReserveSpare(String service, int instances, long nowMillis) {
        return tryReserve(service, 1, instances, SPARE_SHARE, nowMillis);
    }

    private BudgetDecision tryReserve(
            String service, int count, int instances, double share, long nowMillis) {
        RetryCounts counts = counts(service);
        int reserved = counts.reserved();
        int used = counts.repeats(nowMillis);
        double limit = share * limit(counts, instances, nowMillis);
        List<RetryPermit> permits = new ArrayList<>();
        while (reserved + used + count <= limit && permits.size() < count) {
            permits.add(new RetryPermit(counts));
        }
        return new BudgetDecision(permits, reserved, used, limit, instances);
    }

    private double limit(RetryCounts counts, int instances, long nowMillis) {
        double earned = mLimits.ratio() * counts.firstAttempts(nowMillis);
        boolean open = nowMillis >= mReserveFromMillis;
        double reserve = open ? mLimits.reserve() / Math.max(1, instances) : 0;
        return SAFETY_FACTOR * (earned + reserve);
    }

    private RetryCounts counts(String service) {
        return mServices.computeIfAbsent(service, name -> new RetryCounts(mLimits.windowMillis()));
    }

    /** Returns the retries at all services that are permitted and not sent yet. */
    public int reserved() {
        return mServices.values().stream().mapToInt(RetryCounts::reserved).sum();
    }
}
