package org.wasabilug.entry;

import org.wasabilug.model.ConfigurationObject;

/** Writes the states of configuration objects in the JSON format of tickets. */
@FunctionalInterface
public interface ObjectStateWriter {
    /**
     * Writes a state.
     *
     * @param state complete state of the object
     * @return one JSON object
     */
    String write(ConfigurationObject state);
}
