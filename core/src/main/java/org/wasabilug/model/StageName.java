package org.wasabilug.model;

/**
 * Name of a stage within its pipeline.
 *
 * @param value 1 to 100 characters: letters, digits, dot, underscore and hyphen
 */
public record StageName(String value) implements Comparable<StageName> {
    /** Validates the name. */
    public StageName {
        NameRules.check("StageName", value);
    }

    @Override
    public int compareTo(StageName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
