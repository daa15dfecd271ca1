package org.wasabilug.bench.internal.report;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.wasabilug.bench.internal.virtual.Figures;

/** Formats results as a Markdown table. */
final class MarkdownReport {
    private static final double PERCENT = 100;
    private static final String HEAD =
            """
            # Results in virtual time

            Share of requests answered in time, goodput relative to capacity, share of wasted work,
            and ratio of work done to work needed for each pool. A disturbance lasts for the middle
            half of the window; load is a share of the capacity that remains during it.

            | deployment | disturbance | load | contender | requests | in time | before | during \
            | after | goodput | wasted | cost by pool | refusals |
            |---|---|---|---|---|---|---|---|---|---|---|---|---|
            """;

    private MarkdownReport() {}

    static String of(List<ResultRow> rows, boolean complete) {
        StringBuilder text = new StringBuilder(HEAD);
        rows.forEach(row -> text.append(formatRow(row)).append('\n'));
        if (!complete) {
            text.append("\nInterrupted: the remaining experiments were not run.\n");
        }
        return text.toString();
    }

    private static String formatRow(ResultRow row) {
        Figures figures = row.figures();
        return String.join(
                " | ",
                "| " + row.deployment(),
                row.disturbance(),
                formatPercent(row.load()),
                row.contender(),
                Long.toString(figures.submitted()),
                formatPercent(figures.answeredInTime()),
                formatPercent(figures.inTimeBefore()),
                formatPercent(figures.inTimeDuring()),
                formatPercent(figures.inTimeAfter()),
                formatPercent(figures.goodput()),
                formatPercent(figures.wasted()),
                formatCosts(figures.costByPool()),
                figures.refusals() + " |");
    }

    private static String formatPercent(double share) {
        return String.format(Locale.ROOT, "%.2f %%", share * PERCENT);
    }

    private static String formatCosts(Map<String, Double> costs) {
        return costs.entrySet().stream()
                .map(each -> String.format(Locale.ROOT, "%s %.3f", each.getKey(), each.getValue()))
                .collect(Collectors.joining(", "));
    }
}
