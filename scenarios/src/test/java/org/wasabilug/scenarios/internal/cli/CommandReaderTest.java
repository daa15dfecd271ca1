package org.wasabilug.scenarios.internal.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class CommandReaderTest {
    @Test
    void readsFileAndSeed() {
        CommandInput input = CommandReader.read(new String[] {"a.feature:12", "--seed", "7"});

        assertThat(input).isEqualTo(new CommandInput.RunFile("a.feature:12", OptionalLong.of(7)));
    }

    @Test
    void reportsAllFindingsTogether() {
        CommandInput input = CommandReader.read(new String[] {"--seed", "x", "--chaos", "y"});

        assertThat(input)
                .isInstanceOfSatisfying(
                        CommandInput.Invalid.class,
                        invalid -> assertThat(invalid.findings()).hasSizeGreaterThan(1));
    }
}
