package org.wasabilug.scenarios.internal.language;

import java.util.Collection;
import java.util.List;
import java.util.stream.Collectors;
import org.wasabilug.scenarios.internal.checker.Violation;
import org.wasabilug.scenarios.internal.history.History;

/** Formats the messages of the scenario language. */
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
                "no " + kind + " named " + name + " in this deployment; use one of " + names);
    }

    static IllegalStateException noDeployment() {
        return new IllegalStateException(
                "the scenario has no deployment; start it with 'Given the Frigoval deployment'"
                        + " or 'Given the Serrano deployment'");
    }

    /**
     * Formats violations with their traces.
     *
     * @param violations the violations
     * @return text that includes the part of the history that demonstrates each violation
     */
    public static String violations(List<Violation> violations) {
        return violations.stream().map(Violation::toString).collect(Collectors.joining("\n"));
    }

    /**
     * Formats the error for a file or line without a scenario.
     *
     * @param file file, with a line number if one was given
     * @return error message that describes valid arguments
     */
    public static String noScenarioFound(String file) {
        return "no scenario found at "
                + file
                + "; specify a feature file, or append a colon and the line of a Scenario, a"
                + " Scenario Outline or a row of its Examples";
    }

    /**
     * Formats how to reproduce a scenario.
     *
     * @param file feature file and line
     * @param seed random seed of the run
     * @return text with the seed and the command
     */
    public static String repeat(String file, long seed) {
        return "seed " + seed + "; repeat with: bin/wasabilug-scenario " + file + " --seed " + seed;
    }

    /**
     * Formats a history.
     *
     * @param history the history
     * @return text with one line per entry
     */
    public static String history(History history) {
        return history.entries().stream()
                .map(History.Entry::toString)
                .collect(Collectors.joining("\n"));
    }
}
