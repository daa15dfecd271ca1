package org.wasabilug.bench.internal.program;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;

/** Reads settings from flags or environment variables and collects findings about them. */
final class SettingValues {
    private static final String VARIABLE_PREFIX = "WASABILUG_BENCH_";

    private final CommandLine mFlags;
    private final Map<String, String> mVariables;
    private final List<String> mFindings = new ArrayList<>();

    SettingValues(CommandLine flags, Map<String, String> variables) {
        mFlags = flags;
        mVariables = variables;
    }

    private record SourcedText(String source, String text) {}

    private Optional<SourcedText> find(String flag) {
        if (mFlags.hasOption(flag)) {
            return Optional.of(new SourcedText("--" + flag, mFlags.getOptionValue(flag)));
        }
        String variable = VARIABLE_PREFIX + flag.toUpperCase(Locale.ROOT).replace('-', '_');
        return Optional.ofNullable(mVariables.get(variable))
                .map(text -> new SourcedText(variable, text));
    }

    String text(String flag, String defaultValue) {
        return find(flag).map(SourcedText::text).orElse(defaultValue);
    }

    /** Returns a number within bounds, or the default if it is absent or invalid. */
    double number(String flag, double defaultValue, double minimum, double maximum) {
        return find(flag)
                .map(
                        value ->
                                parseInRange(
                                        value.source(),
                                        value.text(),
                                        defaultValue,
                                        minimum,
                                        maximum))
                .orElse(defaultValue);
    }

    /** Returns numbers within bounds, separated by commas, or the default if absent. */
    List<Double> numbers(String flag, List<Double> defaultValues, double minimum, double maximum) {
        return find(flag)
                .map(
                        value ->
                                List.of(value.text().split(",")).stream()
                                        .map(
                                                text ->
                                                        parseInRange(
                                                                value.source(),
                                                                text,
                                                                minimum,
                                                                minimum,
                                                                maximum))
                                        .toList())
                .orElse(defaultValues);
    }

    private double parseInRange(
            String source, String text, double defaultValue, double minimum, double maximum) {
        try {
            double value = Double.parseDouble(text.strip());
            if (value >= minimum && value <= maximum) {
                return value;
            }
        } catch (NumberFormatException ignored) {
            mFindings.add(source + ": '" + text + "' is not a number");
            return defaultValue;
        }
        mFindings.add(source + ": " + text + " is not between " + minimum + " and " + maximum);
        return defaultValue;
    }

    void addFinding(String finding) {
        mFindings.add(finding);
    }

    List<String> findings() {
        return List.copyOf(mFindings);
    }
}
