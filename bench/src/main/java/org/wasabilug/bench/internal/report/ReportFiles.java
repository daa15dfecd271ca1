package org.wasabilug.bench.internal.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Writes a report as Markdown, JSON and plots. */
public final class ReportFiles {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private ReportFiles() {}

    /**
     * Writes all files, replacing earlier ones of the same name.
     *
     * @param rows results in the order of the experiments
     * @param complete false if the experiments were interrupted
     * @param directory target directory; created if it does not exist
     */
    public static void write(List<ResultRow> rows, boolean complete, Path directory) {
        try {
            Files.createDirectories(directory);
            Files.writeString(directory.resolve("report.md"), MarkdownReport.of(rows, complete));
            MAPPER.writeValue(directory.resolve("report.json").toFile(), rows);
            Plots.write(rows, directory);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
