package org.wasabilug.operator.internal.settings;

import java.util.List;
import java.util.Optional;
import org.wasabilug.model.Finding;

/** Result of parsing a command line. */
public sealed interface CommandLineOutcome {
    /**
     * The command line is valid.
     *
     * @param command the command
     * @param settings settings of the command; empty if it sends no requests to instances
     */
    record Valid(Command command, Optional<OperatorSettings> settings)
            implements CommandLineOutcome {}

    /**
     * The command line is invalid.
     *
     * @param findings every error found, each with the flag or variable that it concerns
     */
    record Invalid(List<Finding> findings) implements CommandLineOutcome {
        /** Copies the list. */
        public Invalid {
            findings = List.copyOf(findings);
        }
    }

    /**
     * Only a text is to be printed, such as the help.
     *
     * @param text the text
     */
    record PrintText(String text) implements CommandLineOutcome {}
}
