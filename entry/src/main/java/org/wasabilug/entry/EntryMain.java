package org.wasabilug.entry;

import java.util.List;
import org.apache.logging.log4j.LogManager;

/** Entry point of the program wasabilug-entry. */
public final class EntryMain {
    private EntryMain() {}

    /**
     * Runs an instance until a planned stop has finished.
     *
     * @param arguments flags, see {@code --help}
     */
    public static void main(String[] arguments) {
        EntryProgram program = new EntryProgram(System.out, System.err);
        int exitCode = program.run(List.of(arguments), System.getenv());
        LogManager.shutdown();
        Runtime.getRuntime().halt(exitCode);
    }
}
