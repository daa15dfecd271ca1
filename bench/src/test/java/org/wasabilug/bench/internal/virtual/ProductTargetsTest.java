package org.wasabilug.bench.internal.virtual;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

class ProductTargetsTest {
    private static final double LEAST_IN_TIME = 0.999;
    private static final double LEAST_GOODPUT = 0.95;
    private static final double MOST_WASTED = 0.03;
    private static final double MOST_LOST_BY_MOVE = 0.005;
    private static final long WINDOW_MILLISECONDS = 10_000;

    private static Figures run(Deployment deployment, double load, Disturbance disturbance) {
        Experiment experiment =
                new Experiment(
                        deployment, Contender.product(), load, disturbance, 1, WINDOW_MILLISECONDS);
        return new VirtualRun(experiment).run();
    }

    private static Stream<Arguments> oneStageSlowed() {
        return Stream.of(Deployment.values())
                .flatMap(
                        deployment ->
                                stages().stream().map(slow -> Arguments.of(deployment, slow)));
    }

    private static List<Disturbance> stages() {
        return List.of(
                new Disturbance.SlowStage("encoders", 3),
                new Disturbance.SlowStage("retrievers", 3),
                new Disturbance.SlowStage("rerankers", 3),
                new Disturbance.SlowStage("generators", 1.5),
                new Disturbance.SlowStage("ledgers", 3));
    }

    @ParameterizedTest
    @MethodSource("oneStageSlowed")
    void answersInTimeAtFourFifthsOfCapacityWithOneStageSlowed(
            Deployment deployment, Disturbance slow) {
        Figures figures = run(deployment, 0.8, slow);

        assertThat(figures.answeredInTime()).isGreaterThanOrEqualTo(LEAST_IN_TIME);
        assertThat(figures.wasted()).isLessThanOrEqualTo(MOST_WASTED);
    }

    @ParameterizedTest
    @EnumSource
    void losesLittleWhileDomainLeavesAndReturns(Deployment deployment) {
        Figures figures = run(deployment, 0.8, new Disturbance.DomainMove());

        assertThat(figures.inTimeBefore() - figures.inTimeDuring())
                .isLessThanOrEqualTo(MOST_LOST_BY_MOVE);
        assertThat(figures.inTimeBefore() - figures.inTimeAfter())
                .isLessThanOrEqualTo(MOST_LOST_BY_MOVE);
        assertThat(figures.answeredInTime()).isGreaterThanOrEqualTo(LEAST_IN_TIME);
    }

    @ParameterizedTest
    @EnumSource
    void keepsGoodputAndWastesLittleAboveCapacity(Deployment deployment) {
        Figures figures = run(deployment, 1.3, new Disturbance.None());

        assertThat(figures.goodput()).isGreaterThanOrEqualTo(LEAST_GOODPUT);
        assertThat(figures.wasted()).isLessThanOrEqualTo(MOST_WASTED);
    }

    @ParameterizedTest
    @EnumSource
    void repeatsItsFiguresExactly(Deployment deployment) {
        Figures first = run(deployment, 0.8, new Disturbance.ColdDomain());

        Figures second = run(deployment, 0.8, new Disturbance.ColdDomain());

        assertThat(second).isEqualTo(first);
    }
}
