package org.wasabilug.model;

/**
 * One thing wrong with an input.
 *
 * @param place where, such as a path within a ticket or the name of a setting
 * @param problem what is wrong and what is allowed
 */
public record Finding(String place, String problem) {
    @Override
    public String toString() {
        return place + ": " + problem;
    }
}
