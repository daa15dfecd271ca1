package org.wasabilug.bench.internal.program;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;

/** Values of settings from flags, or else from environment variables; collects findings. */
final class SettingValues {
    private static final String VARIABLE_PREFIX = "WASABILUG_BENCH_";

    private final CommandLine mFlags;
    private final Map<String, String> mVariables;
    private final List<String> mFindings = new ArrayList<>();

    SettingValues(CommandLine flags, Map<String, String> variables) {
        mFlags = flags;
        mVariables = variables;
    }

    private record Given(String place, String text) {}

    private Optional<Given> given(String flag) {
        if (mFlags.hasOption(flag)) {
            return Optional.of(new Given("--" + flag, mFlags.getOptionValue(flag)));
        }
        String variable = VARIABLE_PREFIX + flag.toUpperCase(Locale.ROOT).replace('-', '_');
        return Optional.ofNullable(mVariables.get(variable)).map(text -> new Given(variable, text));
    }

    String text(String flag, String usual) {
        return given(flag).map(Given::text).orElse(usual);
    }

    /** A number in a range; the usual one where it is wrong. */
    double number(String flag, double usual, double least, double most) {
        return given(flag)
                .map(given -> inRange(given.place(), given.text(), usual, least, most))
                .orElse(usual);
    }

    /** Numbers in a range, parted by commas. */
    List<Double> numbers(String flag, List<Double> usual, double least, double most) {
        return given(flag)
                .map(
                        given ->
                                List.of(given.text().split(",")).stream()
                                        .map(
                                                text ->
                                                        inRange(
                                                                given.place(),
                                                                text,
                                                                least,
                                                                least,
                                                                most))
                                        .toList())
                .orElse(usual);
    }

    private double inRange(String place, String text, double usual, double least, double most) {
        try {
            double value = Double.parseDouble(text.strip());
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException ignored) {
            mFindings.add(place + ": '" + text + "' is not a number");
            return usual;
        }
        mFindings.add(place + ": " + text + " is not between " + least + " and " + most);
        return usual;
    }

    void find(String finding) {
        mFindings.add(finding);
    }

    List<String> findings() {
        return List.copyOf(mFindings);
    }
}
