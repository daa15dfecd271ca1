package org.wasabilug.bench.internal.report;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.wasabilug.bench.internal.virtual.Figures;

/** Writes results as a Markdown table. */
final class MarkdownReport {
    private static final double PERCENT = 100;
    private static final String HEAD =
            """
            # Figures in virtual time

            Share of requests answered in time, goodput over what capacity allows, wasted work, and
            work made over work needed for each pool. A disturbance lasts for the middle half of
            the window; load is a share of the capacity that it leaves.

            | deployment | disturbance | load | way | requests | in time | before | during \
            | after | goodput | wasted | cost by pool | refusals |
            |---|---|---|---|---|---|---|---|---|---|---|---|---|
            """;

    private MarkdownReport() {}

    static String of(List<ResultRow> rows, boolean complete) {
        StringBuilder text = new StringBuilder(HEAD);
        rows.forEach(row -> text.append(line(row)).append('\n'));
        if (!complete) {
            text.append("\nInterrupted: experiments are missing.\n");
        }
        return text.toString();
    }

    private static String line(ResultRow row) {
        Figures figures = row.figures();
        return String.join(
                " | ",
                "| " + row.deployment(),
                row.disturbance(),
                percent(row.load()),
                row.contender(),
                Long.toString(figures.submitted()),
                percent(figures.answeredInTime()),
                percent(figures.inTimeBefore()),
                percent(figures.inTimeDuring()),
                percent(figures.inTimeAfter()),
                percent(figures.goodput()),
                percent(figures.wasted()),
                costs(figures.costByPool()),
                figures.refusals() + " |");
    }

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.2f %%", share * PERCENT);
    }

    private static String costs(Map<String, Double> costs) {
        return costs.entrySet().stream()
                .map(each -> String.format(Locale.ROOT, "%s %.3f", each.getKey(), each.getValue()))
                .collect(Collectors.joining(", "));
    }
}
