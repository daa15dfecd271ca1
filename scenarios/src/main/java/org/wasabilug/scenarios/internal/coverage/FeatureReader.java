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

/** Reads the tags of all scenarios in a directory of feature files. */
public final class FeatureReader {
    private static final GherkinParser PARSER =
            GherkinParser.builder()
                    .includeSource(false)
                    .includeGherkinDocument(false)
                    .includePickles(true)
                    .build();

    private FeatureReader() {}

    /**
     * Reads all feature files of a directory.
     *
     * @param directory the directory
     * @return all scenarios and outline examples, ordered by file name and position
     * @throws IOException if a file can't be read
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
