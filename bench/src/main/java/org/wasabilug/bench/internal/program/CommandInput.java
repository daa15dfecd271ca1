package org.wasabilug.bench.internal.program;

import java.util.List;

/** Parsed command line. */
public sealed interface CommandInput {
    /**
     * Print a text and exit.
     *
     * @param text the text
     */
    record PrintText(String text) implements CommandInput {}

    /**
     * The settings are invalid.
     *
     * @param findings every error found, each with the flag or variable that it concerns
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
     * @param requestsPerSecond requests per second, sent in an open loop
     * @param stages number of stages of the pipeline
     * @param seconds length of each measured phase
     * @param idleSeconds length of the idle measurement; 0 to skip it
     */
    record Latency(int requestsPerSecond, int stages, int seconds, int idleSeconds)
            implements CommandInput {}
}
