package org.wasabilug.scenarios.internal.coverage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** Counts, for each pair of invariant and failure, the scenarios that cover it. */
public final class CoverageTable {
    private static final String NOT_COVERED = "not covered";

    private final List<TaggedScenario> mScenarios;

    /**
     * Creates the table.
     *
     * @param scenarios all scenarios, including each example of an outline
     */
    public CoverageTable(List<TaggedScenario> scenarios) {
        mScenarios = List.copyOf(scenarios);
    }

    /**
     * Formats the table, the feature files of each invariant and the totals.
     *
     * @return lines of Markdown
     */
    public List<String> markdown() {
        List<String> lines = new ArrayList<>();
        lines.add("| what fails | " + header() + " |");
        lines.add("|---".repeat(Invariant.values().length + 1) + "|");
        for (Failure failure : Failure.values()) {
            lines.add("| " + failure.title() + " | " + cells(failure) + " |");
        }
        lines.add("");
        for (Invariant invariant : Invariant.values()) {
            lines.add(
                    "- **"
                            + number(invariant)
                            + "** "
                            + invariant.title()
                            + ": "
                            + files(invariant));
        }
        lines.add("");
        lines.add(total());
        return lines;
    }

    private static String header() {
        return Arrays.stream(Invariant.values())
                .map(CoverageTable::number)
                .collect(Collectors.joining(" | "));
    }

    private static String number(Invariant invariant) {
        return String.valueOf(invariant.ordinal() + 1);
    }

    private String cells(Failure failure) {
        return Arrays.stream(Invariant.values())
                .map(invariant -> cell(invariant, failure))
                .collect(Collectors.joining(" | "));
    }

    private String cell(Invariant invariant, Failure failure) {
        String text =
                Arrays.stream(Occurrence.values())
                        .filter(occurrence -> count(invariant, failure, occurrence) > 0)
                        .map(
                                occurrence ->
                                        occurrence.abbreviation()
                                                + count(invariant, failure, occurrence))
                        .collect(Collectors.joining(", "));
        return text.isEmpty() ? NOT_COVERED : text;
    }

    private long count(Invariant invariant, Failure failure, Occurrence occurrence) {
        return mScenarios.stream()
                .filter(scenario -> scenario.covers(invariant, failure, occurrence))
                .count();
    }

    private String files(Invariant invariant) {
        String names =
                mScenarios.stream()
                        .filter(scenario -> scenario.tags().contains(invariant.tag()))
                        .map(TaggedScenario::file)
                        .distinct()
                        .map(name -> "`" + name + "`")
                        .collect(Collectors.joining(", "));
        return names.isEmpty() ? NOT_COVERED : names;
    }

    private String total() {
        long pairs = (long) Invariant.values().length * Failure.values().length;
        long covered = pairs - uncovered();
        return covered + " of " + pairs + " pairs covered by " + mScenarios.size() + " scenarios.";
    }

    private long uncovered() {
        return Arrays.stream(Invariant.values())
                .flatMap(
                        invariant ->
                                Arrays.stream(Failure.values())
                                        .filter(failure -> isUncovered(invariant, failure)))
                .count();
    }

    private boolean isUncovered(Invariant invariant, Failure failure) {
        return cell(invariant, failure).equals(NOT_COVERED);
    }
}
