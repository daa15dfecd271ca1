package org.wasabilug.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wasabilug.entry.internal.settings.CommandLineReader;
import org.wasabilug.entry.internal.settings.EntrySettings;
import org.wasabilug.entry.internal.settings.SettingsOutcome;

class EntryProgramTest {
    private static final List<String> REQUIRED =
            List.of(
                    "--name",
                    "entry-1",
                    "--failure-domain",
                    "rennes",
                    "--platform",
                    "http://127.0.0.1:9000");

    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErrors = new ByteArrayOutputStream();

    private int run(List<String> arguments, Map<String, String> variables) {
        return new EntryProgram(new PrintStream(mOutput), new PrintStream(mErrors))
                .run(arguments, variables);
    }

    private String errors() {
        return mErrors.toString(StandardCharsets.UTF_8);
    }

    @Test
    void reportsEveryErrorWithSettingAndAllowedRange() {
        int exitCode =
                run(
                        List.of("--maximum-body", "12", "--name", "a b"),
                        Map.of(
                                "WASABILUG_CALLERS_ADDRESS", "localhost:80",
                                "WASABILUG_MAXIMUM_STREAMS", "many",
                                "WASABILUG_NONSENSE", "1"));

        assertThat(exitCode).isEqualTo(2);
        assertThat(errors())
                .contains(
                        "--maximum-body: invalid value '12'; allowed: 1024 to 67108864 bytes",
                        "--name: invalid value 'a b'",
                        "WASABILUG_CALLERS_ADDRESS: invalid value 'localhost:80'",
                        "WASABILUG_MAXIMUM_STREAMS: invalid value 'many'",
                        "--failure-domain or WASABILUG_FAILURE_DOMAIN: is missing",
                        "--platform or WASABILUG_PLATFORM: is missing",
                        "WASABILUG_NONSENSE: is not a known setting");
    }

    @Test
    void prefersFlagToVariable() {
        SettingsOutcome outcome =
                CommandLineReader.read(REQUIRED, Map.of("WASABILUG_NAME", "entry-2"));

        assertThat(((SettingsOutcome.Valid) outcome).values().text(EntrySettings.NAME))
                .contains("entry-1");
    }

    @Test
    void refusesKeyAsFlag() {
        int exitCode = run(List.of("--bootstrap-operator-key", "secret"), Map.of());

        assertThat(exitCode).isEqualTo(2);
        assertThat(errors()).doesNotContain("secret");
    }

    @Test
    void readsKeyFromFile(@TempDir Path folder) throws IOException {
        Path file = Files.writeString(folder.resolve("key"), "secret\n");

        SettingsOutcome outcome =
                CommandLineReader.read(
                        REQUIRED, Map.of("WASABILUG_BOOTSTRAP_OPERATOR_KEY_FILE", file.toString()));

        assertThat(((SettingsOutcome.Valid) outcome).values().text(EntrySettings.OPERATOR_KEY))
                .contains("secret");
    }

    @Test
    void omitsSecretFromErrors() {
        int exitCode = run(REQUIRED, Map.of("WASABILUG_BOOTSTRAP_OPERATOR_KEY", "sec.ret"));

        assertThat(exitCode).isEqualTo(2);
        assertThat(errors()).contains("WASABILUG_BOOTSTRAP_OPERATOR_KEY").doesNotContain("sec.ret");
    }

    @Test
    void checksSettingsWithoutServing() {
        List<String> arguments = new java.util.ArrayList<>(REQUIRED);
        arguments.add("--check-settings");

        int exitCode = run(arguments, Map.of());

        assertThat(exitCode).isZero();
        assertThat(mOutput.toString(StandardCharsets.UTF_8)).contains("All settings are valid.");
    }

    @Test
    void listsEverySettingInHelp() {
        run(List.of("--help"), Map.of());

        assertThat(mOutput.toString(StandardCharsets.UTF_8))
                .contains(EntrySettings.all().stream().map(each -> each.variable()).toList());
    }
}
