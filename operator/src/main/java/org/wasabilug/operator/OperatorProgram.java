package org.wasabilug.operator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.wasabilug.operator.internal.client.Fleet;
import org.wasabilug.operator.internal.client.InstanceClient;
import org.wasabilug.operator.internal.command.CommandRunner;
import org.wasabilug.operator.internal.command.HashKeyCommand;
import org.wasabilug.operator.internal.command.TicketCommands;
import org.wasabilug.operator.internal.output.Printer;
import org.wasabilug.operator.internal.settings.Command;
import org.wasabilug.operator.internal.settings.CommandLineOutcome;
import org.wasabilug.operator.internal.settings.CommandLineReader;
import org.wasabilug.operator.internal.settings.OperatorSettings;

/** Parses a command line, runs the command and returns the exit code. */
public final class OperatorProgram {
    private static final String KEY_VARIABLE = "WASABILUG_KEY";

    private final InputStream mInput;
    private final PrintStream mOutput;
    private final PrintStream mErrors;

    /**
     * Creates the program.
     *
     * @param input source of the key to hash, unless the environment holds it
     * @param output receives results
     * @param errors receives error messages
     */
    public OperatorProgram(InputStream input, PrintStream output, PrintStream errors) {
        mInput = input;
        mOutput = output;
        mErrors = errors;
    }

    /**
     * Runs one command.
     *
     * @param arguments command-line arguments
     * @param variables environment variables
     * @return the exit code
     */
    public ExitCode run(List<String> arguments, Map<String, String> variables) {
        return switch (CommandLineReader.read(arguments, variables)) {
            case CommandLineOutcome.PrintText print -> {
                mOutput.println(print.text());
                yield ExitCode.DONE;
            }
            case CommandLineOutcome.Invalid invalid -> {
                printer(false).findings(invalid.findings());
                yield ExitCode.INVALID_USE;
            }
            case CommandLineOutcome.Valid valid -> run(valid, variables);
        };
    }

    private Printer printer(boolean json) {
        return new Printer(mOutput, mErrors, json);
    }

    private ExitCode run(CommandLineOutcome.Valid valid, Map<String, String> variables) {
        return valid.settings()
                .map(settings -> run(valid.command(), settings))
                .orElseGet(() -> new HashKeyCommand(printer(false)).run(readKey(variables)));
    }

    private ExitCode run(Command command, OperatorSettings settings) {
        try (InstanceClient client = new InstanceClient(settings)) {
            Fleet fleet = new Fleet(client, settings.instances());
            Printer printer = printer(settings.json());
            return new CommandRunner(
                            fleet, printer, new TicketCommands(fleet, printer, settings.operator()))
                    .run(command);
        }
    }

    private String readKey(Map<String, String> variables) {
        return Optional.ofNullable(variables.get(KEY_VARIABLE)).orElseGet(this::readLine);
    }

    private String readLine() {
        try {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(mInput, StandardCharsets.UTF_8));
            return Objects.requireNonNullElse(reader.readLine(), "").strip();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
