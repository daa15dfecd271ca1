package org.wasabilug.scenarios.internal.language;

import java.util.Collection;
import java.util.List;
import java.util.stream.Collectors;
import org.wasabilug.scenarios.internal.checker.Violation;
import org.wasabilug.scenarios.internal.history.History;

/** Makes every message of the scenario language. */
public final class LanguageReporter {
    private LanguageReporter() {}

    static IllegalArgumentException unknown(String kind, String name, Collection<?> known) {
        String names =
                known.stream()
                        .map(Object::toString)
                        .distinct()
                        .sorted()
                        .collect(Collectors.joining(", "));
        return new IllegalArgumentException(
                "no " + kind + " is called " + name + " in this deployment; use one of " + names);
    }

    static IllegalStateException noDeployment() {
        return new IllegalStateException(
                "the scenario names no deployment; begin it with 'Given the Frigoval deployment'"
                        + " or 'Given the Serrano deployment'");
    }

    /**
     * Violations with their traces.
     *
     * @param violations what was violated
     * @return text with the shortest part of the history that shows each
     */
    public static String violations(List<Violation> violations) {
        return violations.stream().map(Violation::toString).collect(Collectors.joining("\n"));
    }

    /**
     * A file or line without a scenario.
     *
     * @param file what was asked for
     * @return what to ask for instead
     */
    public static String noScenarioFound(String file) {
        return "no scenario begins at "
                + file
                + "; name a feature file, or after a colon the line of a Scenario, a Scenario"
                + " Outline or a row of its Examples";
    }

    /**
     * How to repeat a scenario.
     *
     * @param file the feature file
     * @param seed the seed
     * @return the seed and the command
     */
    public static String repeat(String file, long seed) {
        return "seed " + seed + "; repeat with: bin/wasabilug-scenario " + file + " --seed " + seed;
    }

    /**
     * A whole history.
     *
     * @param history the history
     * @return one line for each entry
     */
    public static String history(History history) {
        return history.entries().stream()
                .map(History.Entry::toString)
                .collect(Collectors.joining("\n"));
    }
}
