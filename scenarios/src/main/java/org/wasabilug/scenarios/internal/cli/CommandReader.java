package org.wasabilug.scenarios.internal.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Parses the command line. */
final class CommandReader {
    private static final String USAGE =
            "wasabilug-scenario FILE [--seed N] | --chaos SEED | --coverage PAGE FEATURES";

    private CommandReader() {}

    static CommandInput read(String[] arguments) {
        try {
            return interpret(new DefaultParser().parse(options(), arguments));
        } catch (ParseException exception) {
            return new CommandInput.Invalid(List.of(exception.getMessage() + "; see --help"));
        }
    }

    private static Options options() {
        return new Options()
                .addOption(number("seed", "N", "random seed of the run (default: 1)"))
                .addOption(number("chaos", "SEED", "run random faults from this seed"))
                .addOption(
                        Option.builder()
                                .longOpt("coverage")
                                .hasArg()
                                .argName("PAGE")
                                .desc("update the coverage table in this page")
                                .get())
                .addOption("h", "help", false, "show this help");
    }

    private static Option number(String name, String argument, String description) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
    }

    private static CommandInput interpret(CommandLine line) {
        if (line.hasOption("help")) {
            return new CommandInput.Help(help());
        }
        List<String> findings = new ArrayList<>();
        OptionalLong seed = readNumber(line, "seed", findings);
        OptionalLong chaos = readNumber(line, "chaos", findings);
        int expected = line.hasOption("chaos") ? 0 : 1;
        if (line.getArgList().size() != expected) {
            findings.add(
                    "expected " + expected + " path(s), got " + line.getArgList() + "; " + USAGE);
        }
        if (!findings.isEmpty()) {
            return new CommandInput.Invalid(findings);
        }
        if (chaos.isPresent()) {
            return new CommandInput.RunChaos(chaos.getAsLong());
        }
        String path = line.getArgList().getFirst();
        return line.hasOption("coverage")
                ? new CommandInput.UpdateCoverage(
                        Path.of(line.getOptionValue("coverage")), Path.of(path))
                : new CommandInput.RunFile(path, seed);
    }

    private static OptionalLong readNumber(CommandLine line, String name, List<String> findings) {
        String text = line.getOptionValue(name);
        if (text == null) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException exception) {
            findings.add("--" + name + " is not an integer: " + text + "; specify one, such as 7");
            return OptionalLong.empty();
        }
    }

    private static String help() {
        StringWriter text = new StringWriter();
        PrintWriter writer = new PrintWriter(text);
        writer.println("usage: " + USAGE);
        writer.println();
        writer.println(
                "Runs scenarios on real decision cores in virtual time and prints the history");
        writer.println("of the run. FILE is a feature file; FILE:LINE runs one of its scenarios.");
        writer.println();
        for (Option option : options().getOptions()) {
            String argument = option.hasArg() ? " " + option.getArgName() : "";
            writer.printf(
                    "  --%-16s %s%n", option.getLongOpt() + argument, option.getDescription());
        }
        return text.toString();
    }
}
