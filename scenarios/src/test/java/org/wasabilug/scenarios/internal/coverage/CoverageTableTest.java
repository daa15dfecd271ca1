package org.wasabilug.scenarios.internal.coverage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class CoverageTableTest {
    @Test
    void countsAScenarioForEachPairOfItsTags() {
        TaggedScenario scenario =
                new TaggedScenario(
                        "domain-out.feature",
                        Set.of("@holds-out", "@fails-burst", "@fails-partition", "@together"));

        List<String> table = new CoverageTable(List.of(scenario, scenario)).markdown();

        assertThat(table).anyMatch(line -> line.startsWith("| burst") && line.contains("to2"));
        assertThat(table).anyMatch(line -> line.startsWith("| partition") && line.contains("to2"));
        assertThat(table).contains("2 of 130 pairs covered by 2 scenarios.");
    }

    @Test
    void marksUncoveredPairs() {
        List<String> table = new CoverageTable(List.of()).markdown();

        assertThat(table).anyMatch(line -> line.startsWith("| burst | not covered |"));
    }
}
