package org.wasabilug.bench.internal.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class CommandReaderTest {
    private static CommandInput read(Map<String, String> variables, String... arguments) {
        return CommandReader.read(arguments, variables, "1");
    }

    @Test
    void reportsAllFindingsWithTheirSources() {
        CommandInput input =
                read(
                        Map.of("WASABILUG_BENCH_SECONDS", "0"),
                        "virtual",
                        "--seed",
                        "many",
                        "--deployment",
                        "elsewhere");

        assertThat(input).isInstanceOf(CommandInput.Invalid.class);
        assertThat(((CommandInput.Invalid) input).findings())
                .anyMatch(finding -> finding.startsWith("WASABILUG_BENCH_SECONDS"))
                .anyMatch(finding -> finding.startsWith("--seed"))
                .anyMatch(finding -> finding.startsWith("deployment"));
    }

    @Test
    void prefersFlagOverVariable() {
        CommandInput input = read(Map.of("WASABILUG_BENCH_SEED", "7"), "virtual", "--seed", "9");

        assertThat(((CommandInput.Virtual) input).settings().seed()).isEqualTo(9);
    }
}
