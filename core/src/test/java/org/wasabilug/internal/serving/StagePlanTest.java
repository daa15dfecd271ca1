package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.wasabilug.serving.RequestKind;
import org.wasabilug.serving.Route;
import org.wasabilug.serving.RouteStage;
import org.wasabilug.serving.WeightedService;

class StagePlanTest {
    private static final int OBJECTIVE_MILLIS = 2_000;
    private static final int RANK = 1;

    /** Two calls of one piece each, and the default time of the engine. */
    private static final int IDLE_MILLIS = 2 * 160 + 250;

    private final StageTimes mTimes = new StageTimes();
    private final StagePlan mPlan =
            new StagePlan(
                    mTimes,
                    new StageTimes.RequestPlan(route(), List.of(1, 1), "engines", RANK),
                    List.of(ServingFixtures.STAGE, ServingFixtures.STAGE),
                    OBJECTIVE_MILLIS);

    private static Route route() {
        return new Route(
                "route",
                "host",
                "/",
                RequestKind.STREAM,
                6_000,
                OBJECTIVE_MILLIS,
                400,
                RANK,
                List.of(new WeightedService("engines", 1)),
                1,
                List.of(
                        new RouteStage("first", List.of(), 10),
                        new RouteStage("second", List.of(0), 10)),
                false,
                false);
    }

    @Test
    void aRequestIsRefusedOnArrivalIfALaterStageIsTooCongestedForIt() {
        mTimes.recordReport("second", RANK, 1_800, 0);

        assertThat(mPlan.cannotMeetObjective(0)).isTrue();
    }

    @Test
    void aRequestThatACongestedStageCanServeInTimeIsAdmitted() {
        mTimes.recordReport("second", RANK, 1_500, 0);

        assertThat(mPlan.cannotMeetObjective(0)).isFalse();
    }

    @Test
    void aLateRequestIsAdmittedWhileNoStageIsCongested() {
        assertThat(mPlan.cannotMeetObjective(OBJECTIVE_MILLIS)).isFalse();
    }

    @Test
    void aRefusedRequestReturnsWhileItCanStillBeInTime() {
        long retryAfter = mPlan.retryAfterMillis(0);

        assertThat(retryAfter).isPositive().isLessThan(OBJECTIVE_MILLIS - IDLE_MILLIS);
    }

    @Test
    void aRefusedRequestThatCannotBeInTimeReturnsAfterTheCongestion() {
        assertThat(mPlan.retryAfterMillis(OBJECTIVE_MILLIS - IDLE_MILLIS)).isEqualTo(1_500);
    }

    @Test
    void requestsRefusedTogetherReturnWhenTheBacklogIsServedAndNotTogether() {
        mTimes.recordReport("second", QueueWaits.BACKLOG_RANK, 2_000, 0);
        List<Long> delays =
                IntStream.range(0, 100)
                        .mapToObj(each -> mPlan.retryAfterBacklogMillis("request-" + each, 0))
                        .toList();

        assertThat(delays).allMatch(millis -> millis >= 2_000 && millis <= 3_000);
        // Each tenth of the range gets some of 100 evenly spread values.
        assertThat(delays.stream().map(millis -> Math.min(9, (millis - 2_000) / 100)).distinct())
                .hasSize(10);
    }

    @Test
    void aLateRequestIsRefusedOnlyIfTheBacklogReachesBeyondItsDeadline() {
        mTimes.recordReport("second", QueueWaits.DEFERRED_RANK, 3_000, 0);

        assertThat(mPlan.cannotMeetDeadline(9_000, OBJECTIVE_MILLIS)).isFalse();
        assertThat(mPlan.cannotMeetDeadline(3_000, 0)).isFalse();
        mTimes.recordReport("second", QueueWaits.DEFERRED_RANK, 3_000, OBJECTIVE_MILLIS);
        assertThat(mPlan.cannotMeetDeadline(5_000, OBJECTIVE_MILLIS)).isTrue();
    }

    @Test
    void resultsAreOfNoUseOnceTheRequestOrItsInputsHaveExpired() {
        assertThat(mPlan.neededByMillis(0, 6_000, 0)).isEqualTo(6_000 - 160);
        assertThat(mPlan.neededByMillis(1, 6_000, 2_500)).isEqualTo(6_000);
        assertThat(mPlan.neededByMillis(1, 6_000, 1_000)).isEqualTo(5_000);
    }
}
