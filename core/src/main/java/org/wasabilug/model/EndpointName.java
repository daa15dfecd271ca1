package org.wasabilug.model;

/**
 * Name of an endpoint.
 *
 * @param value 1 to 100 characters: letters, digits, dot, underscore and hyphen
 */
public record EndpointName(String value) implements Comparable<EndpointName> {
    /** Validates the name. */
    public EndpointName {
        NameRules.check("EndpointName", value);
    }

    @Override
    public int compareTo(EndpointName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
