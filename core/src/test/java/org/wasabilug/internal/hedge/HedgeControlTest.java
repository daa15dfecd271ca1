package org.wasabilug.internal.hedge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.serving.EndpointLoad;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.HedgeLimits;
import org.wasabilug.internal.serving.RetryBudget;
import org.wasabilug.internal.serving.RetryLimits;
import org.wasabilug.serving.EndpointRegistration;
import org.wasabilug.serving.ServiceSpecification;
import org.wasabilug.serving.StoreRevision;

/** Times are those of a route that answers in 10 ms, or rarely in a second. */
class HedgeControlTest {
    private static final HedgeLimits LIMITS = new HedgeLimits(0.1, 95);
    private static final long FAST_MILLIS = 10;
    private static final long SLOW_MILLIS = 1_000;
    private static final long DEADLINE_MILLIS = 3_000;
    private static final HedgeCandidate.Other FREE = new HedgeCandidate.Other(5, false);
    private static final HedgeDecision SEND = new HedgeDecision.Send();

    private final HedgeControl mControl = new HedgeControl(LIMITS);

    @Test
    void aRequestBeyondThePercentileIsHedged() {
        observe(mControl, 190, 10);

        assertThat(mControl.delayMillis("route", 0).orElseThrow()).isBetween(8L, 13L);
        assertThat(decide(mControl, 14, DEADLINE_MILLIS, FREE)).isEqualTo(SEND);
    }

    /** Guards against hedges by the accidental times of a few responses after a start. */
    @Test
    void fewObservationsGiveNoPercentile() {
        observe(mControl, 90, 5);

        assertThat(mControl.delayMillis("route", 0)).isEmpty();
        assertThat(decide(mControl, 500, DEADLINE_MILLIS, FREE))
                .isInstanceOf(HedgeDecision.Wait.class);
    }

    @Test
    void aShareOfZeroHedgesNothing() {
        HedgeControl off = new HedgeControl(HedgeLimits.OFF);
        observe(off, 190, 10);

        assertThat(off.delayMillis("route", 0)).isEmpty();
        assertThat(decide(off, 500, DEADLINE_MILLIS, FREE))
                .isEqualTo(new HedgeDecision.Denied(HedgeDenial.SHARE_USED));
    }

    /** Guards against a request that is hedged by the percentile of the time when it was sent. */
    @Test
    void aPercentileThatHasRisenIsAwaited() {
        observe(mControl, 190, 10);
        mControl.delayMillis("route", 0);
        List<Double> slow = new ArrayList<>(Collections.nCopies(TimeBuckets.COUNT, 0.0));
        slow.set(TimeBuckets.of(SLOW_MILLIS), 1_000.0);
        mControl.times().recordReport("peer", new FleetResponseTimes.Report("route", slow), 1_000);

        HedgeDecision decision = mControl.decide(candidate(14, DEADLINE_MILLIS, FREE), 1_000);

        assertThat(decision)
                .isInstanceOfSatisfying(
                        HedgeDecision.Wait.class,
                        wait -> assertThat(wait.millis()).isBetween(780L, 1_020L));
    }

    @Test
    void noHedgeWithADeadlineThatIsNear() {
        observe(mControl, 190, 10);

        assertThat(decide(mControl, 14, 7, FREE))
                .isEqualTo(new HedgeDecision.Denied(HedgeDenial.DEADLINE_NEAR));
    }

    @Test
    void noHedgeWithoutAnEndpointThatHasRoom() {
        observe(mControl, 190, 10);

        assertThat(decide(mControl, 14, DEADLINE_MILLIS, null))
                .isEqualTo(new HedgeDecision.Denied(HedgeDenial.NO_ENDPOINT));
        assertThat(decide(mControl, 14, DEADLINE_MILLIS, new HedgeCandidate.Other(5, true)))
                .isEqualTo(new HedgeDecision.Denied(HedgeDenial.ENDPOINTS_FULL));
    }

    /** Guards against hedges where the first endpoint is about to respond. */
    @Test
    void noHedgeWhereAnotherEndpointIsNotExpectedToAnswerSooner() {
        for (int each = 0; each < 400; each++) {
            observe(mControl, 100 + each % 100);
        }

        HedgeDecision decision = decide(mControl, 200, DEADLINE_MILLIS, FREE);

        assertThat(decision)
                .isEqualTo(new HedgeDecision.Wait(50, Optional.of(HedgeDenial.NOT_SOONER)));
        assertThat(decide(mControl, 300, DEADLINE_MILLIS, FREE)).isEqualTo(SEND);
    }

    /** Guards against hedges of large requests, which take long at any endpoint. */
    @Test
    void aRequestThatWasPredictedToTakeLongIsNotHedgedWhereItTakesAsLong() {
        observe(mControl, 190, 10);
        HedgeCandidate large =
                new HedgeCandidate(
                        "route",
                        "service",
                        500,
                        2_000,
                        DEADLINE_MILLIS,
                        () -> Optional.of(new HedgeCandidate.Other(2_000, false)));

        assertThat(mControl.decide(large, 0)).isInstanceOf(HedgeDecision.Wait.class);
    }

    @Property(tries = 100)
    void theHedgesOfAllInstancesTogetherStayWithinTheShare(
            @ForAll @IntRange(min = 1, max = 40) int instances,
            @ForAll @IntRange(min = 0, max = 300) int requests) {
        HedgeCandidate slow = candidate(SLOW_MILLIS, DEADLINE_MILLIS, FREE);
        int hedges = 0;
        for (int instance = 0; instance < instances; instance++) {
            HedgeControl control = new HedgeControl(LIMITS);
            for (int request = 0; request < requests; request++) {
                long now = request * FAST_MILLIS;
                control.recordFirstSend("service");
                control.times().record("route", FAST_MILLIS, now);
                if (control.decide(slow, now).equals(SEND)) {
                    control.recordHedge("service");
                    hedges++;
                }
            }
        }

        assertThat((double) hedges).isLessThanOrEqualTo(LIMITS.share() * instances * requests);
        assertThat(hedges).isGreaterThanOrEqualTo(requests > 220 ? instances : 0);
    }

    /** Guards against hedges that take what failed requests need. */
    @Test
    void hedgesLeaveHalfOfTheRetryBudgetToFailures() {
        RetryBudget budget = new RetryBudget(new RetryLimits(0, 10, 10_000));
        budget.openReserve(0);
        for (int retry = 0; retry < 4; retry++) {
            assertThat(budget.tryReserveSpare("service", 1, 0).granted()).isTrue();
        }

        assertThat(budget.tryReserveSpare("service", 1, 0).granted()).isFalse();
        assertThat(budget.tryReserve("service", 4, 1, 0).granted()).isTrue();
    }

    @Test
    void endpointsAreFullIfTheChosenOneOrMostAreFull() {
        ServiceSpecification service =
                new ServiceSpecification(
                        "service", "/health", 10, 3_000, 0, Optional.empty(), Optional.empty());
        List<EndpointState> endpoints = List.of(endpoint("a"), endpoint("b"), endpoint("c"));
        EndpointLoad two = new EndpointLoad(2, 0, 0);

        endpoints.get(0).setPeerLoad("peer", two);
        assertThat(HedgeControl.full(endpoints.get(0), endpoints, service)).isTrue();
        assertThat(HedgeControl.full(endpoints.get(2), endpoints, service)).isFalse();
        endpoints.get(1).setPeerLoad("peer", two);
        assertThat(HedgeControl.full(endpoints.get(2), endpoints, service)).isTrue();
    }

    private static EndpointState endpoint(String name) {
        StoreRevision revision = new StoreRevision(0, 1);
        return new EndpointState(
                new EndpointRegistration(
                        name, "service", "10.0.0.1", 80, "rennes", 2, false, 0, 0, "v1", revision),
                0);
    }

    private static void observe(HedgeControl control, int fast, int slow) {
        for (int each = 0; each < fast + slow; each++) {
            observe(control, each < fast ? FAST_MILLIS : SLOW_MILLIS);
        }
    }

    private static void observe(HedgeControl control, long millis) {
        control.recordFirstSend("service");
        control.times().record("route", millis, 0);
    }

    private static HedgeDecision decide(
            HedgeControl control,
            long elapsedMillis,
            long remainingMillis,
            HedgeCandidate.Other other) {
        return control.decide(candidate(elapsedMillis, remainingMillis, other), 0);
    }

    private static HedgeCandidate candidate(
            long elapsedMillis, long remainingMillis, HedgeCandidate.Other other) {
        return new HedgeCandidate(
                "route",
                "service",
                elapsedMillis,
                5,
                remainingMillis,
                () -> Optional.ofNullable(other));
    }
}
