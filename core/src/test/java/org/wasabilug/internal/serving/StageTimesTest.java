package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wasabilug.serving.RequestKind;
import org.wasabilug.serving.Route;
import org.wasabilug.serving.RouteStage;
import org.wasabilug.serving.WeightedService;

class StageTimesTest {
    private final StageTimes mTimes = new StageTimes();

    private static Route route() {
        return new Route(
                "route",
                "host",
                "/",
                RequestKind.STREAM,
                6_000,
                2_000,
                400,
                0,
                List.of(new WeightedService("engines", 1)),
                1,
                List.of(
                        new RouteStage("first", List.of(), 10),
                        new RouteStage("second", List.of(0), 10)),
                false,
                false);
    }

    @Test
    void remainingTimeIncludesAllFollowingSteps() {
        StageTimes.RequestPlan plan =
                new StageTimes.RequestPlan(route(), List.of(1, 1), "engines", 0);

        assertThat(mTimes.remainingMillis(plan, 0, 0)).isEqualTo(500);
        assertThat(mTimes.remainingMillis(plan, 1, 0)).isEqualTo(250);
    }

    @Test
    void aStageWithoutPiecesTakesNoTime() {
        StageTimes.RequestPlan plan =
                new StageTimes.RequestPlan(route(), List.of(1, 0), "engines", 0);

        assertThat(mTimes.remainingMillis(plan, 0, 0)).isEqualTo(250);
    }

    @Test
    void onlyTheRankWithLongTimesIsPredictedToTakeLong() {
        for (int sample = 0; sample < 50; sample++) {
            mTimes.recordTime("second", 1, 2_000, 0);
        }

        assertThat(mTimes.expectedMillis("second", 1, 0)).isGreaterThan(1_500);
        assertThat(mTimes.expectedMillis("second", 0, 0)).isEqualTo(250);
    }

    @Test
    void anEstimateWithoutNewSamplesDecaysToTheDefault() {
        for (int sample = 0; sample < 50; sample++) {
            mTimes.recordTime("second", 1, 2_000, 0);
        }

        assertThat(mTimes.expectedMillis("second", 1, 5_000)).isLessThan(275);
    }

    @Test
    void anInstanceWithoutSamplesExpectsWhatTheSenderReports() {
        mTimes.recordReport("second", 1, 1_400, 0);

        assertThat(mTimes.expectedMillis("second", 1, 1_000)).isEqualTo(1_400);
    }

    @Test
    void anEstimateWithoutNewSamplesDecaysToTheReport() {
        for (int sample = 0; sample < 50; sample++) {
            mTimes.recordTime("second", 1, 300, 0);
        }
        mTimes.recordReport("second", 1, 1_400, 4_000);

        assertThat(mTimes.expectedMillis("second", 1, 0)).isLessThan(310);
        assertThat(mTimes.expectedMillis("second", 1, 5_000)).isGreaterThan(1_375);
    }

    @Test
    void aReportExpires() {
        mTimes.recordReport("second", 1, 1_400, 0);

        assertThat(mTimes.expectedMillis("second", 1, 1_500)).isEqualTo(250);
    }
}
