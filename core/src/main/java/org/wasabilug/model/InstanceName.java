package org.wasabilug.model;

/**
 * Name of an entry instance.
 *
 * @param value 1 to 100 characters: letters, digits, dot, underscore and hyphen
 */
public record InstanceName(String value) implements Comparable<InstanceName> {
    /** Validates the name. */
    public InstanceName {
        NameRules.check("InstanceName", value);
    }

    @Override
    public int compareTo(InstanceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
