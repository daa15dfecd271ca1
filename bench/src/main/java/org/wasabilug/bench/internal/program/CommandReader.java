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

/** Reads flags and environment variables. */
public final class CommandReader {
    private static final String VIRTUAL = "virtual";
    private static final String LATENCY = "latency";
    private static final double MOST_RATE = 10_000;
    private static final double MOST_STAGES = 6;
    private static final double LEAST_LOAD = 0.01;
    private static final double MOST_LOAD = 3;
    private static final double MOST_SECONDS = 3_600;
    private static final double MOST_SEED = 1L << 52;
    private static final int HELP_WIDTH = 100;

    private CommandReader() {}

    /**
     * Reads the command line.
     *
     * @param arguments subcommand and flags
     * @param variables environment variables
     * @param version version of the build
     * @return what is asked for
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
            return new CommandInput.Show(help());
        }
        if (line.hasOption("version")) {
            return new CommandInput.Show("wasabilug-bench " + version);
        }
        return checked(line, new SettingValues(line, variables));
    }

    private static CommandInput checked(CommandLine line, SettingValues values) {
        boolean latency = line.getArgList().equals(List.of(LATENCY));
        if (!latency && !line.getArgList().equals(List.of(VIRTUAL))) {
            values.find("subcommand: '" + VIRTUAL + "' or '" + LATENCY + "' expected; see --help");
        }
        CommandInput input = latency ? latency(values) : virtual(values);
        if (!values.findings().isEmpty()) {
            return new CommandInput.Invalid(values.findings());
        }
        return line.hasOption("check-settings")
                ? new CommandInput.Show("The settings are right.")
                : input;
    }

    private static CommandInput latency(SettingValues values) {
        return new CommandInput.Latency(
                (int) values.number("rate", 100, 1, MOST_RATE),
                (int) values.number("stages", 4, 1, MOST_STAGES),
                (int) values.number("seconds", 20, 1, MOST_SECONDS),
                (int) values.number("idle-seconds", 0, 0, MOST_SECONDS));
    }

    private static CommandInput virtual(SettingValues values) {
        BenchSettings settings =
                new BenchSettings(
                        deployments(values),
                        values.numbers(
                                "loads", List.of(0.6, 0.8, 0.95, 1.3), LEAST_LOAD, MOST_LOAD),
                        values.number("disturbed-load", 0.8, LEAST_LOAD, MOST_LOAD),
                        (long) values.number("seed", 1, 0, MOST_SEED),
                        (long) values.number("seconds", 20, 1, MOST_SECONDS),
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
            values.find("deployment: '" + text + "' is not frigoval, serrano or both");
        }
        return found;
    }

    private static Options options() {
        return new Options()
                .addOption(null, "deployment", true, "frigoval, serrano or both (usual: both)")
                .addOption(
                        null,
                        "loads",
                        true,
                        "shares of capacity, 0.01 to 3 (usual: 0.6,0.8,0.95,1.3)")
                .addOption(
                        null,
                        "disturbed-load",
                        true,
                        "share of capacity with a disturbance, 0.01 to 3 (usual: 0.8)")
                .addOption(null, "seed", true, "seed of all runs (usual: 1)")
                .addOption(null, "seconds", true, "measured seconds, 1 to 3600 (usual: 20)")
                .addOption(null, "rate", true, "requests a second, 1 to 10000 (usual: 100)")
                .addOption(null, "stages", true, "stages of the pipeline, 1 to 6 (usual: 4)")
                .addOption(null, "idle-seconds", true, "idle seconds, 0 to 3600 (usual: 0)")
                .addOption(null, "directory", true, "report's directory (usual: bench-report)")
                .addOption(null, "check-settings", false, "check the settings and end")
                .addOption(null, "version", false, "print the version and end")
                .addOption(null, "help", false, "print this and end");
    }

    private static String help() {
        StringWriter text = new StringWriter();
        PrintWriter writer = new PrintWriter(text);
        new HelpFormatter()
                .printHelp(
                        writer,
                        HELP_WIDTH,
                        "wasabilug-bench virtual|latency [flags]",
                        "virtual: seeded load on whole fleets of decision cores in virtual time."
                                + " latency: a real entry instance beside its stand-in.",
                        options(),
                        2,
                        2,
                        "Each flag has a variable WASABILUG_BENCH_...; the flag goes before it.");
        writer.flush();
        return text.toString();
    }
}
