package org.wasabilug.entry.internal.settings;

import java.util.List;
import org.wasabilug.model.Finding;

/** Result of parsing the command line and environment. */
public sealed interface SettingsOutcome {
    /**
     * All settings are valid.
     *
     * @param values validated values
     */
    record Valid(SettingValues values) implements SettingsOutcome {}

    /**
     * Some settings are invalid.
     *
     * @param findings every error, with its flag or variable
     */
    record Invalid(List<Finding> findings) implements SettingsOutcome {
        /** Copies the list. */
        public Invalid {
            findings = List.copyOf(findings);
        }
    }

    /**
     * A text is to be printed and no instance is to be started.
     *
     * @param text text to print
     */
    record TextRequested(String text) implements SettingsOutcome {}

    /**
     * Only a check of the settings was requested, and all are valid.
     *
     * @param text text to print
     */
    record ChecksPassed(String text) implements SettingsOutcome {}
}
