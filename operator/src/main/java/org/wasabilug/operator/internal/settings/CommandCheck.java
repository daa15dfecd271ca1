package org.wasabilug.operator.internal.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import org.apache.commons.cli.CommandLine;

/** Reads the subcommand and its arguments. */
final class CommandCheck {
    private final CommandLine mFlags;
    private final SettingsCheck mReport;
    private final List<String> mWords;

    CommandCheck(CommandLine flags, SettingsCheck report) {
        mFlags = flags;
        mReport = report;
        mWords = flags.getArgList();
    }

    Optional<Command> read() {
        if (mWords.isEmpty()) {
            mReport.report("command line", "names no subcommand; see --help");
            return Optional.empty();
        }
        OptionalLong number = number();
        return switch (mWords.getFirst()) {
            case "check" -> withArgument("FILE", file -> new Command.Check(Path.of(file)));
            case "submit" -> withArgument("FILE", file -> new Command.Submit(Path.of(file)));
            case "show" -> alone(new Command.Show());
            case "status" -> alone(new Command.Status());
            case "endpoints" -> alone(new Command.Endpoints());
            case "take-out" ->
                    withArgument("DOMAIN", domain -> new Command.TakeOut(domain, number));
            case "bring-back" ->
                    withArgument("DOMAIN", domain -> new Command.BringBack(domain, number));
            case "drain" ->
                    withArgument("ENDPOINT", endpoint -> new Command.Drain(endpoint, number));
            case "explain" -> withArgument("REQUEST", Command.Explain::new);
            case "hash-key" -> alone(new Command.HashKey());
            default -> unknown();
        };
    }

    private Optional<Command> unknown() {
        mReport.report(mWords.getFirst(), "is no subcommand; see --help");
        return Optional.empty();
    }

    private Optional<Command> alone(Command command) {
        if (mWords.size() != 1) {
            mReport.report(mWords.getFirst(), "takes no argument");
            return Optional.empty();
        }
        return Optional.of(command);
    }

    private Optional<Command> withArgument(String kind, Function<String, Command> command) {
        if (mWords.size() != 2) {
            mReport.report(mWords.getFirst(), "takes one argument: " + kind);
            return Optional.empty();
        }
        return Optional.of(command.apply(mWords.get(1)));
    }

    private OptionalLong number() {
        String text = mFlags.getOptionValue(CommandLineReader.NUMBER);
        if (text == null) {
            return OptionalLong.empty();
        }
        try {
            long number = Long.parseLong(text);
            if (number > 0) {
                return OptionalLong.of(number);
            }
        } catch (NumberFormatException exception) {
            mReport.report("--number", "'" + text + "' is no whole number");
            return OptionalLong.empty();
        }
        mReport.report("--number", "must be 1 or more");
        return OptionalLong.empty();
    }
}
