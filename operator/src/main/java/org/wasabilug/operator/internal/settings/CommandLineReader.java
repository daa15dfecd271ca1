package org.wasabilug.operator.internal.settings;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.wasabilug.model.Finding;

/** Parses the command line of {@code wasabilug-operator}. */
public final class CommandLineReader {
    static final String INSTANCES = "instances";
    static final String OPERATOR = "operator";
    static final String NUMBER = "number";
    static final String JSON = "json";
    private static final String HELP = "help";
    private static final String VERSION = "version";
    private static final String CHECK_SETTINGS = "check-settings";

    private CommandLineReader() {}

    /**
     * Parses flags and environment variables. A flag takes precedence over its variable.
     *
     * @param arguments command-line arguments
     * @param variables environment variables
     * @return the command, a text to print, or all findings
     */
    public static CommandLineOutcome read(List<String> arguments, Map<String, String> variables) {
        try {
            CommandLine flags =
                    DefaultParser.builder()
                            .setAllowPartialMatching(false)
                            .get()
                            .parse(options(), arguments.toArray(String[]::new));
            return read(flags, variables);
        } catch (ParseException exception) {
            return new CommandLineOutcome.Invalid(
                    List.of(new Finding("command line", exception.getMessage())));
        }
    }

    private static CommandLineOutcome read(CommandLine flags, Map<String, String> variables) {
        if (flags.hasOption(HELP)) {
            return new CommandLineOutcome.PrintText(OperatorHelp.help());
        }
        if (flags.hasOption(VERSION)) {
            return new CommandLineOutcome.PrintText(OperatorHelp.version());
        }
        SettingsReader settings = new SettingsReader(flags, variables);
        if (flags.hasOption(CHECK_SETTINGS)) {
            settings.read();
            return settings.findings().isEmpty()
                    ? new CommandLineOutcome.PrintText("All settings are valid.")
                    : new CommandLineOutcome.Invalid(settings.findings());
        }
        return read(flags, settings);
    }

    private static CommandLineOutcome read(CommandLine flags, SettingsReader settings) {
        CommandParser parser = new CommandParser(flags, settings);
        Optional<Command> command = parser.parse();
        boolean sendsRequests = !command.map(Command.HashKey.class::isInstance).orElse(false);
        Optional<OperatorSettings> values = sendsRequests ? settings.read() : Optional.empty();
        return settings.findings().isEmpty() && command.isPresent()
                ? new CommandLineOutcome.Valid(command.get(), values)
                : new CommandLineOutcome.Invalid(settings.findings());
    }

    private static Options options() {
        return new Options()
                .addOption(Option.builder().longOpt(INSTANCES).hasArg().get())
                .addOption(Option.builder().longOpt(OPERATOR).hasArg().get())
                .addOption(Option.builder().longOpt(NUMBER).hasArg().get())
                .addOption(Option.builder().longOpt(JSON).get())
                .addOption(Option.builder().longOpt(HELP).get())
                .addOption(Option.builder().longOpt(VERSION).get())
                .addOption(Option.builder().longOpt(CHECK_SETTINGS).get());
    }
}
