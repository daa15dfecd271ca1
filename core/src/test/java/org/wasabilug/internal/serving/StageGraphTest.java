package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wasabilug.serving.RouteStage;

class StageGraphTest {
    private static final List<RouteStage> CHAIN =
            List.of(
                    new RouteStage("encode", List.of(), 10),
                    new RouteStage("retrieve", List.of(0), 10),
                    new RouteStage("rank", List.of(1), 10));

    @Test
    void aStageStartsOnceAllItsInputsAreThere() {
        StageGraph graph = new StageGraph(CHAIN, List.of(2, 1, 1));

        assertThat(graph.pollReadyStages()).containsExactly(0);
        graph.recordResult(0, 1, "b");
        assertThat(graph.pollReadyStages()).isEmpty();
        graph.recordResult(0, 0, "a");
        assertThat(graph.pollReadyStages()).containsExactly(1);
        assertThat(graph.inputs(1)).containsExactly("a", "b");
    }

    @Test
    void theRequestReadsTheResultsThatNoStageReads() {
        StageGraph graph = new StageGraph(CHAIN, List.of(1, 1, 2));
        graph.recordResult(0, 0, "a");
        graph.recordResult(1, 0, "b");
        graph.recordResult(2, 0, "c");
        assertThat(graph.isComplete()).isFalse();
        graph.recordResult(2, 1, "d");

        assertThat(graph.isComplete()).isTrue();
        assertThat(graph.outputHandles()).containsExactly("c", "d");
    }

    @Test
    void aStageThatIsLeftOutPassesTheInputsOn() {
        StageGraph graph = new StageGraph(CHAIN, List.of(1, 0, 1));
        graph.pollReadyStages();
        graph.recordResult(0, 0, "a");

        assertThat(graph.pollReadyStages()).containsExactly(2);
        assertThat(graph.inputs(2)).containsExactly("a");
    }

    @Test
    void aSecondResultOfAPieceIsIgnored() {
        StageGraph graph = new StageGraph(CHAIN, List.of(1, 1, 1));

        assertThat(graph.recordResult(0, 0, "first")).isTrue();
        assertThat(graph.recordResult(0, 0, "second")).isFalse();
        assertThat(graph.inputs(1)).containsExactly("first");
    }

    @Test
    void resultsAreFinishedOnceTheirReadersAreComplete() {
        StageGraph graph = new StageGraph(CHAIN, List.of(1, 1, 1));
        graph.recordResult(0, 0, "a");
        assertThat(graph.pollConsumedHandles()).isEmpty();
        graph.recordResult(1, 0, "b");
        assertThat(graph.pollConsumedHandles()).containsExactly("a");
        assertThat(graph.pollConsumedHandles()).isEmpty();
        assertThat(graph.retainedHandles()).containsExactly("b");
    }

    @Test
    void aRequestWithoutPiecesIsComplete() {
        assertThat(new StageGraph(CHAIN, List.of()).isComplete()).isTrue();
    }
}
