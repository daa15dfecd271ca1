package org.wasabilug.model;

/**
 * Name of a workspace.
 *
 * @param value 1 to 100 characters: letters, digits, dot, underscore and hyphen
 */
public record WorkspaceName(String value) implements Comparable<WorkspaceName> {
    /** Validates the name. */
    public WorkspaceName {
        NameRules.check("WorkspaceName", value);
    }

    @Override
    public int compareTo(WorkspaceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
