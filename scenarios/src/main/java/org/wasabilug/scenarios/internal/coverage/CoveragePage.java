package org.wasabilug.scenarios.internal.coverage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A page that holds the table of coverage between two marks. */
public final class CoveragePage {
    private static final String BEGIN = "<!-- coverage: begin -->";
    private static final String END = "<!-- coverage: end -->";

    private final Path mFeatures;

    /**
     * Creates the page's writer.
     *
     * @param features directory of feature files
     */
    public CoveragePage(Path features) {
        mFeatures = features;
    }

    /**
     * Writes the table into a page.
     *
     * @param page the page; it holds both marks
     * @throws IOException where a file can't be read or written
     */
    public void update(Path page) throws IOException {
        Files.write(page, withCurrentTable(page));
    }

    /**
     * The page as it ought to be.
     *
     * @param page the page; it holds both marks
     * @return its lines with the table of the feature files
     * @throws IOException where a file can't be read
     */
    public List<String> withCurrentTable(Path page) throws IOException {
        List<String> lines = Files.readAllLines(page);
        int begin = lines.indexOf(BEGIN);
        int end = lines.indexOf(END);
        if (begin < 0 || end < begin) {
            throw new IOException(
                    page + " lacks the marks of the table; add the lines " + BEGIN + " and " + END);
        }
        List<String> renewed = new ArrayList<>(lines.subList(0, begin + 1));
        renewed.addAll(new CoverageTable(FeatureReader.read(mFeatures)).markdown());
        renewed.addAll(lines.subList(end, lines.size()));
        return renewed;
    }
}
