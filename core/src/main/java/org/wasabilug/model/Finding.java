package org.wasabilug.model;

/**
 * A problem found in an input.
 *
 * @param place location of the problem, such as a path within a ticket or the name of a setting
 * @param problem description of the problem and of the values that are allowed
 */
public record Finding(String place, String problem) {
    @Override
    public String toString() {
        return place + ": " + problem;
    }
}
