package org.wasabilug.bench.internal.program;

import java.util.List;

/** What the command line asks for. */
public sealed interface CommandInput {
    /**
     * Print a text and end.
     *
     * @param text what to print
     */
    record Show(String text) implements CommandInput {}

    /**
     * Settings are wrong.
     *
     * @param findings every finding with its place
     */
    record Invalid(List<String> findings) implements CommandInput {}

    /**
     * Run the experiments in virtual time.
     *
     * @param settings the settings
     */
    record Virtual(BenchSettings settings) implements CommandInput {}
}
