package org.wasabilug.entry.internal.settings;

import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.wasabilug.model.Finding;

/** Parses the command line and environment of the program. */
public final class CommandLineReader {
    private static final String HELP = "help";
    private static final String VERSION = "version";
    private static final String CHECK_SETTINGS = "check-settings";

    private CommandLineReader() {}

    /**
     * Reads flags and environment variables; a flag takes precedence over its variable.
     *
     * @param arguments command-line arguments
     * @param variables environment variables
     * @return validated values, a text to print, or every error found
     */
    public static SettingsOutcome read(List<String> arguments, Map<String, String> variables) {
        try {
            CommandLine flags =
                    DefaultParser.builder()
                            .setAllowPartialMatching(false)
                            .get()
                            .parse(options(), arguments.toArray(String[]::new));
            return read(flags, variables);
        } catch (ParseException exception) {
            return new SettingsOutcome.Invalid(
                    List.of(new Finding("command line", exception.getMessage())));
        }
    }

    private static SettingsOutcome read(CommandLine flags, Map<String, String> variables) {
        if (flags.hasOption(HELP)) {
            return new SettingsOutcome.TextRequested(SettingsHelp.help(EntrySettings.all()));
        }
        if (flags.hasOption(VERSION)) {
            return new SettingsOutcome.TextRequested(SettingsHelp.version());
        }
        if (!flags.getArgList().isEmpty()) {
            return new SettingsOutcome.Invalid(
                    List.of(
                            new Finding(
                                    String.join(" ", flags.getArgList()),
                                    "is not a flag; see --help")));
        }
        SettingsOutcome outcome = new SettingsReader(EntrySettings.all(), flags, variables).read();
        return flags.hasOption(CHECK_SETTINGS) && outcome instanceof SettingsOutcome.Valid
                ? new SettingsOutcome.ChecksPassed("All settings are valid.")
                : outcome;
    }

    private static Options options() {
        Options options =
                new Options()
                        .addOption(Option.builder().longOpt(HELP).get())
                        .addOption(Option.builder().longOpt(VERSION).get())
                        .addOption(Option.builder().longOpt(CHECK_SETTINGS).get());
        EntrySettings.all().stream()
                .filter(Setting::hasFlag)
                .map(setting -> Option.builder().longOpt(setting.name()).hasArg().get())
                .forEach(options::addOption);
        return options;
    }
}
