package org.wasabilug.bench.internal.report;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.wasabilug.bench.internal.virtual.Figures;

/** Plots the figures of undisturbed runs over load, one line per contender. */
final class Plots {
    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 560;
    private static final double PERCENT = 100;

    private Plots() {}

    static void write(List<ResultRow> rows, Path directory) throws IOException {
        List<ResultRow> undisturbed =
                rows.stream().filter(row -> row.disturbance().equals("none")).toList();
        for (String deployment :
                undisturbed.stream().map(ResultRow::deployment).distinct().toList()) {
            List<ResultRow> deploymentRows =
                    undisturbed.stream()
                            .filter(row -> row.deployment().equals(deployment))
                            .toList();
            draw(deploymentRows, "in-time", Figures::answeredInTime, directory.resolve(deployment));
            draw(deploymentRows, "goodput", Figures::goodput, directory.resolve(deployment));
            draw(deploymentRows, "wasted", Figures::wasted, directory.resolve(deployment));
        }
    }

    private static void draw(
            List<ResultRow> rows, String measure, ToDoubleFunction<Figures> value, Path prefix)
            throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH_PIXELS)
                        .height(HEIGHT_PIXELS)
                        .title(prefix.getFileName() + ": " + measure)
                        .xAxisTitle("load in % of capacity")
                        .yAxisTitle(measure + " in %")
                        .build();
        rows.stream()
                .collect(
                        Collectors.groupingBy(
                                ResultRow::contender, TreeMap::new, Collectors.toList()))
                .forEach((contender, series) -> addSeries(chart, contender, series, value));
        BitmapEncoder.saveBitmap(chart, prefix + "-" + measure, BitmapFormat.PNG);
    }

    private static void addSeries(
            XYChart chart,
            String contender,
            List<ResultRow> rows,
            ToDoubleFunction<Figures> value) {
        chart.addSeries(
                contender,
                rows.stream().mapToDouble(row -> row.load() * PERCENT).toArray(),
                rows.stream()
                        .mapToDouble(row -> value.applyAsDouble(row.figures()) * PERCENT)
                        .toArray());
    }
}
