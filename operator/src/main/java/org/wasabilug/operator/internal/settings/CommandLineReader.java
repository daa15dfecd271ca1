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

/** Reads the command line of the operators' command. */
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
     * Reads flags and variables; a flag wins over its variable.
     *
     * @param arguments arguments of the program
     * @param variables environment of the program
     * @return the command, a text to print, or everything that is wrong
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
            return new CommandLineOutcome.TextWanted(OperatorHelp.help());
        }
        if (flags.hasOption(VERSION)) {
            return new CommandLineOutcome.TextWanted(OperatorHelp.version());
        }
        SettingsCheck settings = new SettingsCheck(flags, variables);
        if (flags.hasOption(CHECK_SETTINGS)) {
            settings.read();
            return settings.findings().isEmpty()
                    ? new CommandLineOutcome.TextWanted("Every setting is right.")
                    : new CommandLineOutcome.Invalid(settings.findings());
        }
        return read(flags, settings);
    }

    private static CommandLineOutcome read(CommandLine flags, SettingsCheck settings) {
        CommandCheck check = new CommandCheck(flags, settings);
        Optional<Command> command = check.read();
        boolean reachesInstance = !command.map(Command.HashKey.class::isInstance).orElse(false);
        Optional<OperatorSettings> values = reachesInstance ? settings.read() : Optional.empty();
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
