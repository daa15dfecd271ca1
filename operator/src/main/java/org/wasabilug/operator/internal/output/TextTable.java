package org.wasabilug.operator.internal.output;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** A text table with a header; each column is as wide as its longest cell. */
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
     * @param cells one cell per column
     */
    public void add(String... cells) {
        mRows.add(List.of(cells));
    }

    /**
     * Returns the table as text.
     *
     * @return the lines, header first
     */
    public List<String> lines() {
        return mRows.stream().map(this::format).toList();
    }

    private String format(List<String> row) {
        return IntStream.range(0, row.size())
                .mapToObj(column -> pad(row.get(column), width(column)))
                .collect(Collectors.joining(GAP))
                .stripTrailing();
    }

    private int width(int column) {
        return mRows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }

    private static String pad(String text, int width) {
        return text + " ".repeat(width - text.length());
    }
}
