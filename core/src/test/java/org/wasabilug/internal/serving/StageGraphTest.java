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

        assertThat(graph.takeReady()).containsExactly(0);
        graph.produced(0, 1, "b");
        assertThat(graph.takeReady()).isEmpty();
        graph.produced(0, 0, "a");
        assertThat(graph.takeReady()).containsExactly(1);
        assertThat(graph.inputs(1)).containsExactly("a", "b");
    }

    @Test
    void theRequestReadsTheResultsThatNoStageReads() {
        StageGraph graph = new StageGraph(CHAIN, List.of(1, 1, 2));
        graph.produced(0, 0, "a");
        graph.produced(1, 0, "b");
        graph.produced(2, 0, "c");
        assertThat(graph.complete()).isFalse();
        graph.produced(2, 1, "d");

        assertThat(graph.complete()).isTrue();
        assertThat(graph.finalHandles()).containsExactly("c", "d");
    }

    @Test
    void aStageThatIsLeftOutPassesTheInputsOn() {
        StageGraph graph = new StageGraph(CHAIN, List.of(1, 0, 1));
        graph.takeReady();
        graph.produced(0, 0, "a");

        assertThat(graph.takeReady()).containsExactly(2);
        assertThat(graph.inputs(2)).containsExactly("a");
    }

    @Test
    void aSecondResultOfAPieceIsIgnored() {
        StageGraph graph = new StageGraph(CHAIN, List.of(1, 1, 1));

        assertThat(graph.produced(0, 0, "first")).isTrue();
        assertThat(graph.produced(0, 0, "second")).isFalse();
        assertThat(graph.inputs(1)).containsExactly("first");
    }

    @Test
    void resultsAreFinishedOnceTheirReadersAreComplete() {
        StageGraph graph = new StageGraph(CHAIN, List.of(1, 1, 1));
        graph.produced(0, 0, "a");
        assertThat(graph.takeFinished()).isEmpty();
        graph.produced(1, 0, "b");
        assertThat(graph.takeFinished()).containsExactly("a");
        assertThat(graph.takeFinished()).isEmpty();
        assertThat(graph.allHandles()).containsExactly("b");
    }

    @Test
    void aRequestWithoutPiecesIsComplete() {
        assertThat(new StageGraph(CHAIN, List.of()).complete()).isTrue();
    }
}
