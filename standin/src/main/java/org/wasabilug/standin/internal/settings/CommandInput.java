package org.wasabilug.standin.internal.settings;

import java.util.List;
import org.wasabilug.model.Finding;

/** What the command line asks for. */
public sealed interface CommandInput {
    /**
     * Shows help.
     *
     * @param text the help
     */
    record Help(String text) implements CommandInput {}

    /** Shows the version. */
    record Version() implements CommandInput {}

    /**
     * The settings can't be used.
     *
     * @param findings each with its place
     */
    record Invalid(List<Finding> findings) implements CommandInput {
        /** Copies the list. */
        public Invalid {
            findings = List.copyOf(findings);
        }
    }

    /**
     * The settings are right.
     *
     * @param settings the settings
     * @param checkOnly true to end without starting anything
     */
    record Valid(DaemonSettings settings, boolean checkOnly) implements CommandInput {}
}
