package org.wasabilug.model;

/**
 * Name of an operator account.
 *
 * @param value 1 to 100 characters: letters, digits, dot, underscore and hyphen
 */
public record OperatorName(String value) implements Comparable<OperatorName> {
    /** Validates the name. */
    public OperatorName {
        NameRules.check("OperatorName", value);
    }

    @Override
    public int compareTo(OperatorName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
