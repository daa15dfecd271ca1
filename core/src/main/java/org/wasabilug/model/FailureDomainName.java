package org.wasabilug.model;

/**
 * Name of a failure domain.
 *
 * @param value 1 to 100 characters: letters, digits, dot, underscore and hyphen
 */
public record FailureDomainName(String value) implements Comparable<FailureDomainName> {
    /** Validates the name. */
    public FailureDomainName {
        NameRules.check("FailureDomainName", value);
    }

    @Override
    public int compareTo(FailureDomainName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
