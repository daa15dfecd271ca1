package org.wasabilug.scenarios.internal.coverage;

import java.util.Set;

/**
 * A scenario as the table of coverage sees it.
 *
 * @param file name of its feature file
 * @param tags its tags, with those of its feature and of its examples
 */
public record TaggedScenario(String file, Set<String> tags) {
    /** Copies the tags. */
    public TaggedScenario {
        tags = Set.copyOf(tags);
    }

    boolean covers(Invariant invariant, Failure failure, Occurrence manner) {
        return tags.contains(invariant.tag())
                && tags.contains(failure.tag())
                && tags.contains(manner.tag());
    }
}
