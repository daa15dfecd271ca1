package org.wasabilug.bench.internal.program;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.wasabilug.bench.internal.virtual.Deployment;

/** Parses the command line of {@code wasabilug-bench}. */
public final class CommandReader {
    private static final String VIRTUAL = "virtual";
    private static final String LATENCY = "latency";
    private static final double MAX_REQUESTS_PER_SECOND = 10_000;
    private static final double MAX_STAGES = 6;
    private static final double MIN_LOAD = 0.01;
    private static final double MAX_LOAD = 3;
    private static final double MAX_SECONDS = 3_600;
    private static final double MAX_SEED = 1L << 52;
    private static final int HELP_WIDTH_COLUMNS = 100;

    private CommandReader() {}

    /**
     * Parses flags and environment variables. A flag takes precedence over its variable.
     *
     * @param arguments subcommand and flags
     * @param variables environment variables
     * @param version version of the build
     * @return the command to run, a text to print, or all findings
     */
    public static CommandInput read(
            String[] arguments, Map<String, String> variables, String version) {
        CommandLine line;
        try {
            line = new DefaultParser().parse(options(), arguments);
        } catch (ParseException exception) {
            return new CommandInput.Invalid(List.of(exception.getMessage() + "; see --help"));
        }
        if (line.hasOption("help")) {
            return new CommandInput.PrintText(help());
        }
        if (line.hasOption("version")) {
            return new CommandInput.PrintText("wasabilug-bench " + version);
        }
        return readSettings(line, new SettingValues(line, variables));
    }

    private static CommandInput readSettings(CommandLine line, SettingValues values) {
        boolean latency = line.getArgList().equals(List.of(LATENCY));
        if (!latency && !line.getArgList().equals(List.of(VIRTUAL))) {
            values.addFinding(
                    "subcommand: '" + VIRTUAL + "' or '" + LATENCY + "' expected; see --help");
        }
        CommandInput input = latency ? latency(values) : virtual(values);
        if (!values.findings().isEmpty()) {
            return new CommandInput.Invalid(values.findings());
        }
        return line.hasOption("check-settings")
                ? new CommandInput.PrintText("All settings are valid.")
                : input;
    }

    private static CommandInput latency(SettingValues values) {
        return new CommandInput.Latency(
                (int) values.number("rate", 100, 1, MAX_REQUESTS_PER_SECOND),
                (int) values.number("stages", 1, 1, MAX_STAGES),
                (int) values.number("seconds", 20, 1, MAX_SECONDS),
                (int) values.number("idle-seconds", 0, 0, MAX_SECONDS));
    }

    private static CommandInput virtual(SettingValues values) {
        BenchSettings settings =
                new BenchSettings(
                        deployments(values),
                        values.numbers("loads", List.of(0.6, 0.8, 0.95, 1.3), MIN_LOAD, MAX_LOAD),
                        values.number("disturbed-load", 0.8, MIN_LOAD, MAX_LOAD),
                        (long) values.number("seed", 1, 0, MAX_SEED),
                        (long) values.number("seconds", 20, 1, MAX_SECONDS),
                        Path.of(values.text("directory", "bench-report")));
        return new CommandInput.Virtual(settings);
    }

    private static List<Deployment> deployments(SettingValues values) {
        String text = values.text("deployment", "both");
        if (text.equals("both")) {
            return List.of(Deployment.values());
        }
        List<Deployment> found =
                Arrays.stream(Deployment.values())
                        .filter(each -> each.label().equals(text))
                        .toList();
        if (found.isEmpty()) {
            values.addFinding("deployment: '" + text + "' is not frigoval, serrano or both");
        }
        return found;
    }

    private static Options options() {
        return new Options()
                .addOption(null, "deployment", true, "frigoval, serrano or both (default: both)")
                .addOption(
                        null,
                        "loads",
                        true,
                        "loads as shares of capacity, 0.01 to 3 (default: 0.6,0.8,0.95,1.3)")
                .addOption(
                        null,
                        "disturbed-load",
                        true,
                        "load during a disturbance as a share of capacity, 0.01 to 3 (default:"
                                + " 0.8)")
                .addOption(null, "seed", true, "random seed of all runs (default: 1)")
                .addOption(null, "seconds", true, "measured seconds, 1 to 3600 (default: 20)")
                .addOption(null, "rate", true, "requests per second, 1 to 10000 (default: 100)")
                .addOption(null, "stages", true, "stages of the pipeline, 1 to 6 (default: 1)")
                .addOption(
                        null,
                        "idle-seconds",
                        true,
                        "length of the idle measurement in seconds, 0 to 3600 (default: 0)")
                .addOption(
                        null, "directory", true, "directory for the report (default: bench-report)")
                .addOption(null, "check-settings", false, "validate the settings and exit")
                .addOption(null, "version", false, "print the version and exit")
                .addOption(null, "help", false, "print this text and exit");
    }

    private static String help() {
        StringWriter text = new StringWriter();
        PrintWriter writer = new PrintWriter(text);
        new HelpFormatter()
                .printHelp(
                        writer,
                        HELP_WIDTH_COLUMNS,
                        "wasabilug-bench virtual|latency [flags]",
                        "virtual: seeded load on fleets of decision cores in virtual time. latency:"
                                + " a real entry instance against direct calls to its stand-in.",
                        options(),
                        2,
                        2,
                        "Each flag has a variable WASABILUG_BENCH_...; the flag takes precedence.");
        writer.flush();
        return text.toString();
    }
}
