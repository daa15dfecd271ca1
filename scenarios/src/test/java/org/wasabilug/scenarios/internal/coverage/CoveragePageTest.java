package org.wasabilug.scenarios.internal.coverage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class CoveragePageTest {
    private static final Path PAGE = Path.of("../docs/PROOF.md");
    private static final Path FEATURES = Path.of("src/main/resources/org/wasabilug/scenarios");

    @Test
    void pageMatchesTheFeatureFiles() throws IOException {
        CoveragePage page = new CoveragePage(FEATURES);

        assertThat(Files.readAllLines(PAGE))
                .as(
                        "update it with: bin/wasabilug-scenario --coverage docs/PROOF.md"
                                + " scenarios/src/main/resources/org/wasabilug/scenarios")
                .isEqualTo(page.withCurrentTable(PAGE));
    }
}
