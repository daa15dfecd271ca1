package org.wasabilug.standin.internal.settings;

import com.google.common.primitives.Ints;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.wasabilug.error.WasabilugException;
import org.wasabilug.model.CallProtocol;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.Finding;

/** Parses flags and environment variables and reports all problems at once. */
public final class CommandReader {
    private static final String HELP = "help";
    private static final String VERSION = "version";
    private static final String CHECK_SETTINGS = "check-settings";
    private static final int HELP_WIDTH = 100;
    private static final int MAXIMUM_PORT = 65_535;
    private static final int MAXIMUM_ENDPOINTS = 4_096;
    private static final int MAXIMUM_WORDS = 100_000;
    private static final int MAXIMUM_CALLS = 100_000;
    private static final int MAXIMUM_MILLISECONDS = 3_600_000;

    private CommandReader() {}

    /**
     * Parses the command line.
     *
     * @param arguments arguments of the process
     * @param variables environment variables
     */
    public static CommandInput read(String[] arguments, Map<String, String> variables) {
        CommandLine flags;
        try {
            flags = new DefaultParser().parse(options(), arguments, true);
        } catch (ParseException exception) {
            return new CommandInput.Invalid(
                    List.of(new Finding("command line", exception.getMessage())));
        }
        if (flags.hasOption(HELP)) {
            return new CommandInput.Help(help());
        }
        if (flags.hasOption(VERSION)) {
            return new CommandInput.Version();
        }
        return check(new SettingParser(flags, variables), flags);
    }

    private static CommandInput check(SettingParser parser, CommandLine flags) {
        flags.getArgList().forEach(parser::reportUnknownFlag);
        DaemonSettings settings = settings(parser);
        return parser.findings().isEmpty()
                ? new CommandInput.Valid(settings, flags.hasOption(CHECK_SETTINGS))
                : new CommandInput.Invalid(parser.findings());
    }

    private static DaemonSettings settings(SettingParser parser) {
        Map<FailureDomainName, Integer> endpoints = endpoints(parser);
        String protocol = parser.oneOf(Setting.PROTOCOL, "streamed", "whole");
        return new DaemonSettings(
                parser.text(Setting.HOST),
                parser.number(Setting.PLATFORM_PORT, 0, MAXIMUM_PORT),
                parser.number(Setting.FIRST_ENDPOINT_PORT, 0, MAXIMUM_PORT),
                endpoints,
                protocol.equals("whole") ? CallProtocol.WHOLE : CallProtocol.STREAMED,
                parser.number(Setting.WORDS, 0, MAXIMUM_WORDS),
                parser.number(Setting.COLD_LIMIT, 0, MAXIMUM_CALLS),
                parser.number(Setting.CONCURRENCY, 1, MAXIMUM_CALLS),
                milliseconds(parser, Setting.COLD_START_MILLISECONDS),
                milliseconds(parser, Setting.FIRST_TOKEN_MILLISECONDS),
                milliseconds(parser, Setting.TOKEN_MILLISECONDS),
                flag(parser, Setting.STARTS_COLD),
                flag(parser, Setting.FALLS_OVER));
    }

    private static Duration milliseconds(SettingParser parser, Setting setting) {
        return Duration.ofMillis(parser.number(setting, 0, MAXIMUM_MILLISECONDS));
    }

    private static boolean flag(SettingParser parser, Setting setting) {
        return parser.oneOf(setting, "true", "false").equals("true");
    }

    private static Map<FailureDomainName, Integer> endpoints(SettingParser parser) {
        Map<FailureDomainName, Integer> endpoints = new LinkedHashMap<>();
        String text = parser.text(Setting.ENDPOINTS);
        for (String part : text.isEmpty() ? new String[0] : text.split(",")) {
            addEndpoints(parser, part, endpoints);
        }
        return endpoints;
    }

    private static void addEndpoints(
            SettingParser parser, String part, Map<FailureDomainName, Integer> endpoints) {
        String[] sides = part.split("=", 2);
        Integer count = sides.length == 2 ? Ints.tryParse(sides[1]) : null;
        if (count == null || count < 1 || count > MAXIMUM_ENDPOINTS) {
            parser.report(
                    Setting.ENDPOINTS,
                    "must be FAILURE_DOMAIN=COUNT with a count from 1 to "
                            + MAXIMUM_ENDPOINTS
                            + ", found '"
                            + part
                            + "'");
            return;
        }
        try {
            endpoints.put(new FailureDomainName(sides[0]), count);
        } catch (WasabilugException exception) {
            parser.report(Setting.ENDPOINTS, exception.getMessage());
        }
    }

    private static Options options() {
        Options options =
                new Options()
                        .addOption(null, HELP, false, "show this help")
                        .addOption(null, VERSION, false, "show the version")
                        .addOption(null, CHECK_SETTINGS, false, "check the settings and exit");
        for (Setting setting : Setting.values()) {
            options.addOption(
                    Option.builder()
                            .longOpt(setting.flag())
                            .hasArg()
                            .argName(setting.name().toLowerCase(Locale.ROOT))
                            .desc(setting.help())
                            .get());
        }
        return options;
    }

    private static String help() {
        StringWriter text = new StringWriter();
        PrintWriter printer = new PrintWriter(text);
        HelpFormatter formatter = new HelpFormatter();
        formatter.printHelp(
                printer,
                HELP_WIDTH,
                "wasabilug-standin [flags]",
                "Runs stand-ins for the platform and for endpoints until it is told to stop.",
                options(),
                HelpFormatter.DEFAULT_LEFT_PAD,
                HelpFormatter.DEFAULT_DESC_PAD,
                "Exit codes: 0 success, 2 invalid settings.");
        printer.flush();
        return text.toString();
    }
}
