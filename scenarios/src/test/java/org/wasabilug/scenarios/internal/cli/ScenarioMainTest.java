package org.wasabilug.scenarios.internal.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;

class ScenarioMainTest {
    private static final String FEATURE =
            "src/main/resources/org/wasabilug/scenarios/domain-out.feature";

    @Test
    void returnsUsageErrorForALineWithoutAScenario() throws IOException {
        assertThat(statusOf(FEATURE + ":1000")).isEqualTo(2);
    }

    private static int statusOf(String file) throws IOException {
        return ScenarioMain.run(CommandReader.read(new String[] {file}));
    }
}
