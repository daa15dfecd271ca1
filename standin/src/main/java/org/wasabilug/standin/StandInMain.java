package org.wasabilug.standin;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;
import org.wasabilug.standin.internal.daemon.StandInDaemon;
import org.wasabilug.standin.internal.settings.CommandInput;
import org.wasabilug.standin.internal.settings.CommandReader;

/** Runs stand-ins for the platform and for endpoints as a process. */
public final class StandInMain {
    private static final int EXIT_SUCCESS = 0;
    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final String BUILD_PROPERTIES =
            "/META-INF/maven/org.wasabilug/standin/pom.properties";

    private StandInMain() {}

    /**
     * Runs the process.
     *
     * @param arguments flags; see {@code --help}
     */
    public static void main(String[] arguments) {
        switch (CommandReader.read(arguments, System.getenv())) {
            case CommandInput.Help help -> printAndExit(help.text());
            case CommandInput.Version version ->
                    printAndExit("wasabilug-standin " + buildVersion());
            case CommandInput.Invalid invalid -> {
                invalid.findings().forEach(System.err::println);
                System.exit(EXIT_INVALID_SETTINGS);
            }
            case CommandInput.Valid valid when valid.checkOnly() ->
                    printAndExit("The settings are valid.");
            case CommandInput.Valid valid -> run(new StandInDaemon(valid.settings()));
        }
    }

    private static void run(StandInDaemon daemon) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "stop"));
        try {
            Thread.currentThread().join();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Halts with exit code 0: a requested stop is a success, but the JVM would exit with a code
     * derived from the signal.
     */
    private static void stop(StandInDaemon daemon) {
        daemon.close();
        System.out.flush();
        Runtime.getRuntime().halt(EXIT_SUCCESS);
    }

    private static void printAndExit(String text) {
        System.out.println(text);
        System.exit(EXIT_SUCCESS);
    }

    private static String buildVersion() {
        Properties properties = new Properties();
        try (InputStream stream = StandInMain.class.getResourceAsStream(BUILD_PROPERTIES)) {
            if (stream != null) {
                properties.load(stream);
            }
        } catch (IOException exception) {
            return "of unknown version, as the build properties are unreadable: "
                    + exception.getMessage();
        }
        return properties.getProperty(
                "version", "of unknown version, as the build is not packaged");
    }
}
