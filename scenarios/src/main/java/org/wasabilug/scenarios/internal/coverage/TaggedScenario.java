package org.wasabilug.scenarios.internal.coverage;

import java.util.Set;

/**
 * The file name and tags of a scenario, as needed for the coverage table.
 *
 * @param file name of its feature file
 * @param tags its tags, including those inherited from its feature and examples
 */
public record TaggedScenario(String file, Set<String> tags) {
    /** Copies the tags. */
    public TaggedScenario {
        tags = Set.copyOf(tags);
    }

    boolean covers(Invariant invariant, Failure failure, Occurrence occurrence) {
        return tags.contains(invariant.tag())
                && tags.contains(failure.tag())
                && tags.contains(occurrence.tag());
    }
}
