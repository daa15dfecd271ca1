package org.wasabilug.operator.internal.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import org.apache.commons.cli.CommandLine;

/** Parses the subcommand and its arguments. */
final class CommandParser {
    private final CommandLine mFlags;
    private final SettingsReader mSettings;
    private final List<String> mArguments;

    CommandParser(CommandLine flags, SettingsReader settings) {
        mFlags = flags;
        mSettings = settings;
        mArguments = flags.getArgList();
    }

    Optional<Command> parse() {
        if (mArguments.isEmpty()) {
            mSettings.addFinding("command line", "has no subcommand; see --help");
            return Optional.empty();
        }
        OptionalLong number = number();
        return switch (mArguments.getFirst()) {
            case "check" -> withArgument("FILE", file -> new Command.Check(Path.of(file)));
            case "submit" -> withArgument("FILE", file -> new Command.Submit(Path.of(file)));
            case "show" -> withoutArgument(new Command.Show());
            case "status" -> withoutArgument(new Command.Status());
            case "endpoints" -> withoutArgument(new Command.Endpoints());
            case "take-out" ->
                    withArgument("DOMAIN", domain -> new Command.TakeOut(domain, number));
            case "bring-back" ->
                    withArgument("DOMAIN", domain -> new Command.BringBack(domain, number));
            case "drain" ->
                    withArgument("ENDPOINT", endpoint -> new Command.Drain(endpoint, number));
            case "explain" -> withArgument("REQUEST", Command.Explain::new);
            case "hash-key" -> withoutArgument(new Command.HashKey());
            default -> reportUnknownCommand();
        };
    }

    private Optional<Command> reportUnknownCommand() {
        mSettings.addFinding(mArguments.getFirst(), "is not a subcommand; see --help");
        return Optional.empty();
    }

    private Optional<Command> withoutArgument(Command command) {
        if (mArguments.size() != 1) {
            mSettings.addFinding(mArguments.getFirst(), "takes no arguments");
            return Optional.empty();
        }
        return Optional.of(command);
    }

    private Optional<Command> withArgument(String placeholder, Function<String, Command> command) {
        if (mArguments.size() != 2) {
            mSettings.addFinding(mArguments.getFirst(), "takes one argument: " + placeholder);
            return Optional.empty();
        }
        return Optional.of(command.apply(mArguments.get(1)));
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
            mSettings.addFinding("--number", "'" + text + "' is not a whole number");
            return OptionalLong.empty();
        }
        mSettings.addFinding("--number", "must be 1 or more");
        return OptionalLong.empty();
    }
}
