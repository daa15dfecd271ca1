package org.wasabilug.operator;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class ExitCodePageTest {
    private static final Path PAGE = Path.of("../docs/OPERATIONS.md");

    @Test
    void containsTableGeneratedFromExitCodes() throws IOException {
        String table =
                Arrays.stream(ExitCode.values())
                        .map(code -> "| " + code.number() + " | " + code.meaning() + " |\n")
                        .collect(Collectors.joining());

        assertThat(Files.readString(PAGE))
                .contains(
                        "<!-- exit codes: begin -->\n| code | meaning |\n|---|---|\n"
                                + table
                                + "<!-- exit codes: end -->");
    }
}
