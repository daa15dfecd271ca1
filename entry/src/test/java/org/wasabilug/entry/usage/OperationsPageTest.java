package org.wasabilug.entry.usage;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.wasabilug.entry.EntryInstance;
import org.wasabilug.entry.fake.FakeEndpoints;
import org.wasabilug.entry.fake.FakeInstance;
import org.wasabilug.entry.fake.HttpCaller;
import org.wasabilug.entry.internal.http.ProblemStatus;
import org.wasabilug.error.ErrorCode;

class OperationsPageTest {
    private static final Path PAGE = Path.of("../docs/OPERATIONS.md");
    private static final Path CORE = Path.of("../core/src/main/java/org/wasabilug");
    private static final Pattern CODE = Pattern.compile("/\\*\\* (.+?) \\*/\\s+([A-Z_]+)");
    private static final Pattern KIND =
            Pattern.compile("(?:turn\\.log\\(|new Decision\\()\\s*\"([a-z]+)\"");
    private static final Pattern FIRST_CELL = Pattern.compile("(?m)^\\| `([^`]+)` \\|");

    private static String section(String name) throws IOException {
        String page = Files.readString(PAGE);
        String begin = "<!-- " + name + ": begin -->";
        return page.substring(page.indexOf(begin), page.indexOf("<!-- " + name + ": end -->"));
    }

    private static Set<String> firstCells(String name) throws IOException {
        return matches(FIRST_CELL, section(name));
    }

    private static Set<String> matches(Pattern pattern, String text) {
        return pattern.matcher(text)
                .results()
                .map(result -> result.group(1))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void containsRowGeneratedFromEachErrorCode() throws IOException {
        List<MatchResult> codes =
                CODE.matcher(read(CORE.resolve("error/ErrorCode.java"))).results().toList();

        assertThat(codes).hasSameSizeAs(ErrorCode.values());
        assertThat(section("error codes").lines().filter(line -> line.startsWith("| `")))
                .hasSize(codes.size())
                .zipSatisfy(
                        codes,
                        (line, code) ->
                                assertThat(line)
                                        .startsWith(
                                                "| `%s` | %d | %s | "
                                                        .formatted(
                                                                code.group(2),
                                                                ProblemStatus.of(
                                                                        ErrorCode.valueOf(
                                                                                code.group(2))),
                                                                code.group(1))));
    }

    @Test
    void listsEachKindOfDecision() throws IOException {
        Set<String> kinds;
        try (Stream<Path> files = Files.walk(CORE)) {
            kinds =
                    files.filter(file -> file.toString().endsWith(".java"))
                            .flatMap(file -> matches(KIND, read(file)).stream())
                            .collect(Collectors.toCollection(TreeSet::new));
        }

        assertThat(firstCells("decision kinds")).isEqualTo(kinds);
    }

    @Test
    void listsEachMetricOfInstance() throws IOException {
        try (EntryInstance instance = FakeInstance.with(new FakeEndpoints(true)).build()) {
            HttpCaller operator = new HttpCaller(instance.start().operators());

            JsonNode metrics =
                    new ObjectMapper()
                            .readTree(operator.get("/metrics", FakeInstance.OPERATOR).body());

            Set<String> names = new TreeSet<>();
            metrics.forEach(kind -> kind.fieldNames().forEachRemaining(names::add));
            names.removeIf(name -> name.startsWith("jvm."));
            Set<String> listed = firstCells("metrics");
            listed.remove("requests.refused.CODE");
            assertThat(listed).isEqualTo(names);
        }
    }

    @Test
    void listsRefusalMetricByCode() throws IOException {
        assertThat(firstCells("metrics")).contains("requests.refused.CODE");
        assertThat(Arrays.stream(ErrorCode.values()).map(Enum::name))
                .containsAll(firstCells("error codes"));
    }
}
