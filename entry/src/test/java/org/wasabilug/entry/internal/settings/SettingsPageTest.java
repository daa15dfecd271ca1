package org.wasabilug.entry.internal.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class SettingsPageTest {
    private static final Path PAGE = Path.of("../docs/OPERATIONS.md");

    @Test
    void containsTableGeneratedFromSettings() throws IOException {
        assertThat(Files.readString(PAGE))
                .contains(
                        "<!-- settings: begin -->\n"
                                + SettingsHelp.markdown(EntrySettings.all())
                                + "<!-- settings: end -->");
    }
}
