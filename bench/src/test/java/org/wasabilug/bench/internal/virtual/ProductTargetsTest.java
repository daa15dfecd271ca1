package org.wasabilug.bench.internal.virtual;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

class ProductTargetsTest {
    private static final double MIN_IN_TIME_SHARE = 0.999;
    private static final double MIN_GOODPUT = 0.95;
    private static final double MAX_WASTED_SHARE = 0.03;
    private static final double MAX_SHARE_LOST_BY_MOVE = 0.005;
    private static final long WINDOW_MILLISECONDS = 10_000;

    private static Figures run(Deployment deployment, double load, Disturbance disturbance) {
        Experiment experiment =
                new Experiment(
                        deployment, Contender.product(), load, disturbance, 1, WINDOW_MILLISECONDS);
        return new VirtualRun(experiment).run();
    }

    private static Stream<Arguments> deploymentsWithOneSlowStage() {
        return Stream.of(Deployment.values())
                .flatMap(
                        deployment ->
                                slowStages().stream().map(slow -> Arguments.of(deployment, slow)));
    }

    private static List<Disturbance> slowStages() {
        return List.of(
                new Disturbance.SlowStage("encoders", 3),
                new Disturbance.SlowStage("retrievers", 3),
                new Disturbance.SlowStage("rerankers", 3),
                new Disturbance.SlowStage("generators", 1.5),
                new Disturbance.SlowStage("ledgers", 3));
    }

    @ParameterizedTest
    @MethodSource("deploymentsWithOneSlowStage")
    void answersInTimeAtEightyPercentOfCapacityWithOneSlowStage(
            Deployment deployment, Disturbance slow) {
        Figures figures = run(deployment, 0.8, slow);

        assertThat(figures.answeredInTime()).isGreaterThanOrEqualTo(MIN_IN_TIME_SHARE);
        assertThat(figures.wasted()).isLessThanOrEqualTo(MAX_WASTED_SHARE);
    }

    @ParameterizedTest
    @EnumSource
    void losesFewRequestsWhileDomainIsOutOfServiceAndAfterItsReturn(Deployment deployment) {
        Figures figures = run(deployment, 0.8, new Disturbance.DomainMove());

        assertThat(figures.inTimeBefore() - figures.inTimeDuring())
                .isLessThanOrEqualTo(MAX_SHARE_LOST_BY_MOVE);
        assertThat(figures.inTimeBefore() - figures.inTimeAfter())
                .isLessThanOrEqualTo(MAX_SHARE_LOST_BY_MOVE);
        assertThat(figures.answeredInTime()).isGreaterThanOrEqualTo(MIN_IN_TIME_SHARE);
    }

    @ParameterizedTest
    @EnumSource
    void keepsGoodputAndLimitsWasteAboveCapacity(Deployment deployment) {
        Figures figures = run(deployment, 1.3, new Disturbance.None());

        assertThat(figures.goodput()).isGreaterThanOrEqualTo(MIN_GOODPUT);
        assertThat(figures.wasted()).isLessThanOrEqualTo(MAX_WASTED_SHARE);
    }

    @ParameterizedTest
    @EnumSource
    void producesSameFiguresFromSameSeed(Deployment deployment) {
        Figures first = run(deployment, 0.8, new Disturbance.ColdDomain());

        Figures second = run(deployment, 0.8, new Disturbance.ColdDomain());

        assertThat(second).isEqualTo(first);
    }
}
