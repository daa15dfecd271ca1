package org.wasabilug.internal.deadline;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.PipelineName;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.Stage;
import org.wasabilug.model.StageName;

class LearnedStagePlannerTest {
    private static final long MILLISECOND_NANOS = 1_000_000L;
    private static final Percentage BUCKET_WIDTH = Percentage.withPercentage(10);
    private static final Pipeline PIPELINE =
            Pipeline.builder()
                    .name(new PipelineName("certificate"))
                    .stages(
                            List.of(
                                    stage("encode"),
                                    stage("retrieve", "encode"),
                                    stage("lookup", "encode"),
                                    stage("generate", "retrieve", "lookup")))
                    .build();

    private final LearnedStagePlanner mPlanner = new LearnedStagePlanner();

    private static Stage stage(String name, String... after) {
        List<StageName> before = List.of(after).stream().map(StageName::new).toList();
        return new Stage(new StageName(name), new PoolName(name), true, before);
    }

    private void learn(String stage, long milliseconds) {
        for (int count = 0; count < 50; count++) {
            mPlanner.observe(
                    PIPELINE.name(), new StageName(stage), milliseconds * MILLISECOND_NANOS);
        }
    }

    private void learnAll() {
        learn("encode", 100);
        learn("retrieve", 200);
        learn("lookup", 500);
        learn("generate", 1000);
    }

    @Test
    void expectsNothingBeforeItHasLearned() {
        assertThat(mPlanner.expectedNanos(PIPELINE, Set.of())).isZero();
        assertThat(mPlanner.stageBudgetNanos(PIPELINE, new StageName("encode"), 77)).isEqualTo(77);
    }

    @Test
    void forgetsTimesThatWereDoubtedUntilLessThanOneIsLeft() {
        learn("generate", 20_000);

        for (int doubts = 0; doubts < 20; doubts++) {
            mPlanner.discountObservations(PIPELINE.name(), new StageName("generate"));
        }

        assertThat(mPlanner.expectedNanos(PIPELINE, Set.of())).isZero();
    }

    @Test
    void addsTheLongestPathOfStagesThatRunSideBySide() {
        learnAll();

        assertThat(mPlanner.expectedNanos(PIPELINE, Set.of()))
                .isCloseTo(1600 * MILLISECOND_NANOS, BUCKET_WIDTH);
    }

    @Test
    void leavesOutStagesThatAreDone() {
        learnAll();
        Set<StageName> done = Set.of(new StageName("encode"), new StageName("lookup"));

        assertThat(mPlanner.expectedNanos(PIPELINE, done))
                .isCloseTo(1200 * MILLISECOND_NANOS, BUCKET_WIDTH);
    }

    @Test
    void leavesTimeForLaterStages() {
        learnAll();

        long budget =
                mPlanner.stageBudgetNanos(
                        PIPELINE, new StageName("retrieve"), 3000 * MILLISECOND_NANOS);

        assertThat(budget).isCloseTo(2000 * MILLISECOND_NANOS, BUCKET_WIDTH);
    }

    @Test
    void sharesTooShortTimeInProportion() {
        learnAll();

        long budget =
                mPlanner.stageBudgetNanos(
                        PIPELINE, new StageName("lookup"), 300 * MILLISECOND_NANOS);

        assertThat(budget).isCloseTo(100 * MILLISECOND_NANOS, BUCKET_WIDTH);
    }

    @Test
    void followsStageThatTurnsSlow() {
        learn("encode", 100);
        for (int turn = 0; turn < 20; turn++) {
            learn("encode", 400);
        }

        assertThat(mPlanner.percentileNanos(PIPELINE.name(), new StageName("encode"), 0.5))
                .isCloseTo(400 * MILLISECOND_NANOS, BUCKET_WIDTH);
    }
}
