package org.wasabilug.model;

/**
 * Name of a pipeline.
 *
 * @param value 1 to 100 characters: letters, digits, dot, underscore and hyphen
 */
public record PipelineName(String value) implements Comparable<PipelineName> {
    /** Validates the name. */
    public PipelineName {
        NameRules.check("PipelineName", value);
    }

    @Override
    public int compareTo(PipelineName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
