package org.wasabilug.scenarios.internal.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;

/** What a person asked the command for. */
sealed interface CommandInput {
    /**
     * Run the scenarios of a file or directory.
     *
     * @param file feature file, with a line after a colon to run one scenario; or a directory
     * @param seed seed of everything that varies
     */
    record RunFile(String file, OptionalLong seed) implements CommandInput {}

    /**
     * Run random faults.
     *
     * @param seed seed of the run
     */
    record RunChaos(long seed) implements CommandInput {}

    /**
     * Write the table of coverage into a page.
     *
     * @param page the page
     * @param features directory of feature files
     */
    record UpdateCoverage(Path page, Path features) implements CommandInput {}

    /**
     * Show the help.
     *
     * @param text the help
     */
    record Help(String text) implements CommandInput {}

    /**
     * The command line is wrong.
     *
     * @param findings what is wrong with it
     */
    record Invalid(List<String> findings) implements CommandInput {
        public Invalid {
            findings = List.copyOf(findings);
        }
    }
}
