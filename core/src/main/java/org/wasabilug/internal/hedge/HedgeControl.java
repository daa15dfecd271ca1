package org.wasabilug.internal.hedge;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.HedgeLimits;
import org.wasabilug.internal.serving.RejectionControl;
import org.wasabilug.serving.ServiceSpecification;

/**
 * Decides when a request that may be repeated is sent to a second endpoint, as the first takes
 * longer than a high percentile of the fleet's recent times of the route.
 */
public final class HedgeControl {
    /** With fewer responses beyond the percentile, single ones would determine it. */
    private static final double MIN_RESPONSES_BEYOND = 5;

    private static final double MEDIAN = 0.5;

    /** Shortest time after which a request that was not hedged is considered again. */
    private static final long MIN_WAIT_MILLIS = 10;

    /** A request that was not hedged is considered again when it has taken so much longer. */
    private static final double WAIT_SHARE = 0.25;

    private final HedgeLimits mLimits;
    private final HedgeAllowance mAllowance;
    private final FleetResponseTimes mTimes = new FleetResponseTimes();

    /**
     * Creates a control without observations.
     *
     * @param limits limits on hedges
     */
    public HedgeControl(HedgeLimits limits) {
        mLimits = limits;
        mAllowance = new HedgeAllowance(limits.share());
    }

    /** Returns whether any request may be hedged. */
    public boolean enabled() {
        return mLimits.enabled();
    }

    /** Returns the response times on which the decisions are based. */
    public FleetResponseTimes times() {
        return mTimes;
    }

    /**
     * Records that a request was sent for the first time.
     *
     * @param service service to which it was sent
     */
    public void recordFirstSend(String service) {
        if (enabled()) {
            mAllowance.recordFirstSend(service);
        }
    }

    /**
     * Records that a hedge was sent.
     *
     * @param service service to which it was sent
     */
    public void recordHedge(String service) {
        mAllowance.recordHedge(service);
    }

    /**
     * Returns how long the first send may take before a hedge is considered.
     *
     * @param route name of the route
     * @param nowMillis current monotonic time, in milliseconds
     * @return the time in milliseconds; empty if hedging is off or there are few observations
     */
    public OptionalLong delayMillis(String route, long nowMillis) {
        return enabled()
                ? delayMillis(mTimes.distribution(route, nowMillis))
                : OptionalLong.empty();
    }

    private OptionalLong delayMillis(TimeDistribution times) {
        double share = mLimits.percentile() / 100;
        return times.total() * (1 - share) < MIN_RESPONSES_BEYOND
                ? OptionalLong.empty()
                : OptionalLong.of((long) Math.ceil(times.quantileMillis(share)));
    }

    /**
     * Decides whether to hedge a request. The retry budget is left to be asked if so.
     *
     * @param candidate the request
     * @param nowMillis current monotonic time, in milliseconds
     */
    public HedgeDecision decide(HedgeCandidate candidate, long nowMillis) {
        if (!enabled() || !mAllowance.available(candidate.service())) {
            return new HedgeDecision.Denied(HedgeDenial.SHARE_USED);
        }
        TimeDistribution times = mTimes.distribution(candidate.route(), nowMillis);
        OptionalLong delay = delayMillis(times);
        if (delay.isEmpty()) {
            return wait(candidate, Optional.empty());
        }
        long early = delay.getAsLong() - candidate.elapsedMillis();
        if (early > 0) {
            return new HedgeDecision.Wait(early, Optional.empty());
        }
        if (candidate.remainingMillis() < delay.getAsLong()) {
            return new HedgeDecision.Denied(HedgeDenial.DEADLINE_NEAR);
        }
        return candidate
                .other()
                .get()
                .map(other -> compare(candidate, other, times))
                .orElse(new HedgeDecision.Denied(HedgeDenial.NO_ENDPOINT));
    }

    private static HedgeDecision compare(
            HedgeCandidate candidate, HedgeCandidate.Other other, TimeDistribution times) {
        if (other.full()) {
            return new HedgeDecision.Denied(HedgeDenial.ENDPOINTS_FULL);
        }
        double otherMillis = Math.max(other.predictedMillis(), times.quantileMillis(MEDIAN));
        return otherMillis < remainingMillis(candidate, times)
                ? new HedgeDecision.Send()
                : wait(candidate, Optional.of(HedgeDenial.NOT_SOONER));
    }

    /** Returns how much longer the first send is expected to take. */
    private static double remainingMillis(HedgeCandidate candidate, TimeDistribution times) {
        double early = candidate.predictedMillis() - candidate.elapsedMillis();
        return early > 0 ? early : times.expectedRemainingMillis(candidate.elapsedMillis());
    }

    /** The wait grows with the time taken, so that a long request is considered few times. */
    private static HedgeDecision wait(HedgeCandidate candidate, Optional<HedgeDenial> reason) {
        long millis = (long) (WAIT_SHARE * candidate.elapsedMillis());
        return new HedgeDecision.Wait(Math.max(MIN_WAIT_MILLIS, millis), reason);
    }

    /**
     * Returns whether the endpoints of a service have no free slots to spare: the one that would
     * receive a hedge has none, or most of them have none.
     *
     * @param chosen the endpoint that would receive the hedge
     * @param usable all endpoints of the service that may receive requests
     * @param service the service
     */
    public static boolean full(
            EndpointState chosen, List<EndpointState> usable, ServiceSpecification service) {
        long full = usable.stream().filter(each -> full(each, service)).count();
        return full(chosen, service) || 2 * full > usable.size();
    }

    private static boolean full(EndpointState endpoint, ServiceSpecification service) {
        RejectionControl.Load load = endpoint.loadAndSlots(service);
        return load.all() >= load.slots();
    }
}
