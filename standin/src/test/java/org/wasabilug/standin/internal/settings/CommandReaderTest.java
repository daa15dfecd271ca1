package org.wasabilug.standin.internal.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.Finding;

class CommandReaderTest {
    @Test
    void reportsEveryFindingWithItsPlace() {
        String[] arguments = {"--cold-limit", "-3", "--endpoints", "rennes=0", "--nonsense"};
        Map<String, String> variables = Map.of("WASABILUG_STANDIN_WORDS", "many");

        CommandInput input = CommandReader.read(arguments, variables);

        assertThat(((CommandInput.Invalid) input).findings())
                .extracting(Finding::place)
                .containsExactlyInAnyOrder(
                        "--nonsense", "--endpoints", "WASABILUG_STANDIN_WORDS", "--cold-limit");
    }

    @Test
    void prefersFlagsOverVariables() {
        String[] arguments = {"--words", "7", "--endpoints", "rennes=2,brest=1"};
        Map<String, String> variables = Map.of("WASABILUG_STANDIN_WORDS", "9");

        CommandInput input = CommandReader.read(arguments, variables);

        DaemonSettings settings = ((CommandInput.Valid) input).settings();
        assertThat(settings.words()).isEqualTo(7);
        assertThat(settings.endpoints())
                .containsEntry(new FailureDomainName("rennes"), 2)
                .containsEntry(new FailureDomainName("brest"), 1);
    }
}
