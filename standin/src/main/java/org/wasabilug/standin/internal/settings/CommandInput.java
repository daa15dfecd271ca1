package org.wasabilug.standin.internal.settings;

import java.util.List;
import org.wasabilug.model.Finding;

/** What the command line requests. */
public sealed interface CommandInput {
    /**
     * Prints the help and exits.
     *
     * @param text the help text
     */
    record Help(String text) implements CommandInput {}

    /** Prints the version and exits. */
    record Version() implements CommandInput {}

    /**
     * The settings are invalid.
     *
     * @param findings all problems, each with the flag or variable it was found in
     */
    record Invalid(List<Finding> findings) implements CommandInput {
        /** Copies the list. */
        public Invalid {
            findings = List.copyOf(findings);
        }
    }

    /**
     * The settings are valid.
     *
     * @param settings the settings
     * @param checkOnly true to exit without starting anything
     */
    record Valid(DaemonSettings settings, boolean checkOnly) implements CommandInput {}
}
