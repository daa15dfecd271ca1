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

    /**
     * Measure a real entry instance over loopback.
     *
     * @param requestsPerSecond requests a second, open loop
     * @param stages stages of the pipeline
     * @param seconds length of each measured part
     * @param idleSeconds how long the cost of an idle process is measured
     */
    record Latency(int requestsPerSecond, int stages, int seconds, int idleSeconds)
            implements CommandInput {}
}
