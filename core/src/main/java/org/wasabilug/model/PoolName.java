package org.wasabilug.model;

/**
 * Name of a pool of endpoints that serve the same calls.
 *
 * @param value 1 to 100 characters: letters, digits, dot, underscore and hyphen
 */
public record PoolName(String value) implements Comparable<PoolName> {
    /** Validates the name. */
    public PoolName {
        NameRules.check("PoolName", value);
    }

    @Override
    public int compareTo(PoolName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
