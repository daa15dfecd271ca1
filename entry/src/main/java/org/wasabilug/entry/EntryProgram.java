package org.wasabilug.entry;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.wasabilug.entry.internal.settings.CommandLineReader;
import org.wasabilug.entry.internal.settings.SettingValues;
import org.wasabilug.entry.internal.settings.SettingsOutcome;
import org.wasabilug.error.WasabilugException;
import org.wasabilug.model.Finding;

/** Reads the settings, runs an instance and returns the exit code of the program. */
final class EntryProgram {
    static final int EXIT_STOPPED = 0;
    static final int EXIT_FAILED = 1;
    static final int EXIT_INVALID_SETTINGS = 2;

    private final PrintStream mOutput;
    private final PrintStream mErrors;

    EntryProgram(PrintStream output, PrintStream errors) {
        mOutput = output;
        mErrors = errors;
    }

    int run(List<String> arguments, Map<String, String> variables) {
        return switch (CommandLineReader.read(arguments, variables)) {
            case SettingsOutcome.TextRequested requested -> print(requested.text());
            case SettingsOutcome.ChecksPassed passed -> print(passed.text());
            case SettingsOutcome.Invalid invalid -> report(invalid.findings());
            case SettingsOutcome.Valid valid -> serve(valid.values());
        };
    }

    private int print(String text) {
        mOutput.println(text);
        return EXIT_STOPPED;
    }

    private int report(List<Finding> findings) {
        findings.forEach(mErrors::println);
        return EXIT_INVALID_SETTINGS;
    }

    private int serve(SettingValues values) {
        try (EntryDaemon daemon = DaemonSettings.daemonBuilderOf(values).start()) {
            return new StopSignal(daemon).serveUntilStopped();
        } catch (WasabilugException exception) {
            mErrors.println(exception.getMessage());
            return EXIT_FAILED;
        }
    }
}
