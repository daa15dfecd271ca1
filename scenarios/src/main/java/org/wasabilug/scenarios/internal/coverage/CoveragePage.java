package org.wasabilug.scenarios.internal.coverage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Maintains the coverage table between two marker lines of a Markdown page. */
public final class CoveragePage {
    private static final String BEGIN = "<!-- coverage: begin -->";
    private static final String END = "<!-- coverage: end -->";

    private final Path mFeatures;

    /**
     * Creates an updater.
     *
     * @param features directory of the feature files from which the table is generated
     */
    public CoveragePage(Path features) {
        mFeatures = features;
    }

    /**
     * Replaces the table in a page.
     *
     * @param page the page, which contains both marker lines
     * @throws IOException if a file can't be read or written, or a marker is missing
     */
    public void update(Path page) throws IOException {
        Files.write(page, withCurrentTable(page));
    }

    /**
     * Returns the content of a page with an up-to-date table.
     *
     * @param page the page, which contains both marker lines
     * @return lines of the page, with the table generated from the feature files
     * @throws IOException if a file can't be read or a marker is missing
     */
    public List<String> withCurrentTable(Path page) throws IOException {
        List<String> lines = Files.readAllLines(page);
        int begin = lines.indexOf(BEGIN);
        int end = lines.indexOf(END);
        if (begin < 0 || end < begin) {
            throw new IOException(
                    page
                            + " lacks the marker lines of the coverage table; add "
                            + BEGIN
                            + " and "
                            + END);
        }
        List<String> updated = new ArrayList<>(lines.subList(0, begin + 1));
        updated.addAll(new CoverageTable(FeatureReader.read(mFeatures)).markdown());
        updated.addAll(lines.subList(end, lines.size()));
        return updated;
    }
}
