package org.wasabilug.scenarios.internal.coverage;

import io.cucumber.gherkin.GherkinParser;
import io.cucumber.messages.types.Envelope;
import io.cucumber.messages.types.Pickle;
import io.cucumber.messages.types.PickleTag;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Reads the tags of every scenario in a directory of feature files. */
public final class FeatureReader {
    private static final GherkinParser PARSER =
            GherkinParser.builder()
                    .includeSource(false)
                    .includeGherkinDocument(false)
                    .includePickles(true)
                    .build();

    private FeatureReader() {}

    /**
     * Reads every feature file.
     *
     * @param directory the directory
     * @return each scenario, and each example of an outline, by file name and place
     * @throws IOException where a file can't be read
     */
    public static List<TaggedScenario> read(Path directory) throws IOException {
        List<TaggedScenario> scenarios = new ArrayList<>();
        for (Path file : featuresIn(directory)) {
            PARSER.parse(file)
                    .map(Envelope::getPickle)
                    .flatMap(Optional::stream)
                    .map(pickle -> tagged(file, pickle))
                    .forEach(scenarios::add);
        }
        return scenarios;
    }

    private static List<Path> featuresIn(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(file -> file.toString().endsWith(".feature")).sorted().toList();
        }
    }

    private static TaggedScenario tagged(Path file, Pickle pickle) {
        return new TaggedScenario(
                file.getFileName().toString(),
                pickle.getTags().stream().map(PickleTag::getName).collect(Collectors.toSet()));
    }
}
