package org.wasabilug.operator.internal.settings;

import java.util.List;
import java.util.Optional;
import org.wasabilug.model.Finding;

/** Result of reading a command line. */
public sealed interface CommandLineOutcome {
    /**
     * The command can be carried out.
     *
     * @param command the command
     * @param settings its settings; empty for a command that reaches no instance
     */
    record Valid(Command command, Optional<OperatorSettings> settings)
            implements CommandLineOutcome {}

    /**
     * The command line has faults.
     *
     * @param findings each with its place
     */
    record Invalid(List<Finding> findings) implements CommandLineOutcome {
        /** Copies the list. */
        public Invalid {
            findings = List.copyOf(findings);
        }
    }

    /**
     * Nothing is to be done but to print.
     *
     * @param text text to print
     */
    record TextWanted(String text) implements CommandLineOutcome {}
}
