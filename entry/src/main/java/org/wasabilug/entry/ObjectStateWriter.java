package org.wasabilug.entry;

import org.wasabilug.model.ConfigurationObject;

/** Writes the JSON form that tickets use for the state of an object. */
@FunctionalInterface
public interface ObjectStateWriter {
    /**
     * Writes a state.
     *
     * @param state whole state of the object
     * @return one JSON object
     */
    String write(ConfigurationObject state);
}
