package org.wasabilug.operator.internal.output;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** A table for people: a header and rows, in columns as wide as their longest cell. */
public final class TextTable {
    private static final String GAP = "  ";

    private final List<List<String>> mRows = new ArrayList<>();

    /**
     * Creates a table without rows.
     *
     * @param header names of the columns
     */
    public TextTable(String... header) {
        mRows.add(List.of(header));
    }

    /**
     * Adds a row.
     *
     * @param cells one cell for each column
     */
    public void add(String... cells) {
        mRows.add(List.of(cells));
    }

    /**
     * The table as lines.
     *
     * @return the lines, the header first
     */
    public List<String> lines() {
        return mRows.stream().map(this::line).toList();
    }

    private String line(List<String> row) {
        return IntStream.range(0, row.size())
                .mapToObj(column -> padded(row.get(column), width(column)))
                .collect(Collectors.joining(GAP))
                .stripTrailing();
    }

    private int width(int column) {
        return mRows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }

    private static String padded(String text, int width) {
        return text + " ".repeat(width - text.length());
    }
}
