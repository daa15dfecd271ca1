package org.wasabilug.scenarios.internal.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;

/** The parsed command line. */
sealed interface CommandInput {
    /**
     * Run the scenarios of a file or directory.
     *
     * @param file directory or feature file; a line number after a colon selects one scenario
     * @param seed random seed; if absent, the default seed is used
     */
    record RunFile(String file, OptionalLong seed) implements CommandInput {}

    /**
     * Run a deployment under random faults.
     *
     * @param seed random seed, which also selects the deployment
     */
    record RunChaos(long seed) implements CommandInput {}

    /**
     * Update the coverage table of a page.
     *
     * @param page Markdown page that contains the table
     * @param features directory of feature files
     */
    record UpdateCoverage(Path page, Path features) implements CommandInput {}

    /**
     * Show the help.
     *
     * @param text the help text
     */
    record Help(String text) implements CommandInput {}

    /**
     * The command line is invalid.
     *
     * @param findings all errors found
     */
    record Invalid(List<String> findings) implements CommandInput {
        public Invalid {
            findings = List.copyOf(findings);
        }
    }
}
