package org.wasabilug.internal.rollout;

import org.wasabilug.internal.serving.RolloutLimits;

/** Requests of this instance to a service since the order, and their outcomes. */
public final class OwnTraffic {
    private final RolloutOrder mOrder;
    private final Exposure mExposure;
    private final OutcomeCounts mCandidate = new OutcomeCounts();
    private final OutcomeCounts mBaseline = new OutcomeCounts();
    private long mBaselineUsedMillis;

    OwnTraffic(RolloutOrder order, RolloutLimits limits, boolean presentAtOrder, long nowMillis) {
        mOrder = order;
        mExposure = new Exposure(limits, presentAtOrder);
        mBaselineUsedMillis = nowMillis;
    }

    OutcomeCounts candidate() {
        return mCandidate.copy();
    }

    OutcomeCounts baseline() {
        return mBaseline.copy();
    }

    long requests() {
        return mExposure.requests();
    }

    long baselineUsedMillis() {
        return mBaselineUsedMillis;
    }

    double remaining(SendKind kind, int instances) {
        return mExposure.remaining(kind, mCandidate.sent(), instances);
    }

    /** Counts a request that is about to be sent to the service for the first time. */
    public void recordRequest() {
        mExposure.recordRequest();
    }

    /**
     * Records a send.
     *
     * @param softwareVersion version of the endpoint
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordSent(String softwareVersion, long nowMillis) {
        countsForUse(softwareVersion, nowMillis).recordSent();
    }

    /**
     * Records that a request has ended without an outcome that tells about the version.
     *
     * @param softwareVersion version of the endpoint
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordEnd(String softwareVersion, long nowMillis) {
        countsForUse(softwareVersion, nowMillis).recordEnd();
    }

    /**
     * Records a failure.
     *
     * @param softwareVersion version of the endpoint
     * @param route position of the route among those of the service
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordFailure(String softwareVersion, int route, long nowMillis) {
        countsForUse(softwareVersion, nowMillis).recordFailure(route);
    }

    /**
     * Records a success.
     *
     * @param softwareVersion version of the endpoint
     * @param route position of the route among those of the service
     * @param millis response time in milliseconds
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordSuccess(String softwareVersion, int route, double millis, long nowMillis) {
        countsForUse(softwareVersion, nowMillis).recordSuccess(route, millis);
    }

    /** Returns the counts of a version that is in use now. */
    private OutcomeCounts countsForUse(String softwareVersion, long nowMillis) {
        if (softwareVersion.equals(mOrder.softwareVersion())) {
            return mCandidate;
        }
        mBaselineUsedMillis = nowMillis;
        return mBaseline;
    }
}
