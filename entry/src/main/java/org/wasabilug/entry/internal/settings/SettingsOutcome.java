package org.wasabilug.entry.internal.settings;

import java.util.List;
import org.wasabilug.model.Finding;

/** Result of reading a command line. */
public sealed interface SettingsOutcome {
    /**
     * Every setting is right.
     *
     * @param values the values
     */
    record Valid(SettingValues values) implements SettingsOutcome {}

    /**
     * Settings have faults.
     *
     * @param findings each with its flag or variable
     */
    record Invalid(List<Finding> findings) implements SettingsOutcome {
        /** Copies the list. */
        public Invalid {
            findings = List.copyOf(findings);
        }
    }

    /**
     * Nothing is to be run.
     *
     * @param text text to print
     */
    record TextRequested(String text) implements SettingsOutcome {}

    /**
     * Settings were to be checked only, and are right.
     *
     * @param text text to print
     */
    record ChecksPassed(String text) implements SettingsOutcome {}
}
