package org.wasabilug.standin;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;
import org.wasabilug.standin.internal.daemon.StandInDaemon;
import org.wasabilug.standin.internal.settings.CommandInput;
import org.wasabilug.standin.internal.settings.CommandReader;

/** Runs stand-ins for the platform and for endpoints as a process. */
public final class StandInMain {
    private static final int EXIT_DONE = 0;
    private static final int EXIT_WRONG_SETTINGS = 2;
    private static final String BUILD_PROPERTIES =
            "/META-INF/maven/org.wasabilug/standin/pom.properties";

    private StandInMain() {}

    /**
     * Starts the process.
     *
     * @param arguments flags; see {@code --help}
     */
    public static void main(String[] arguments) {
        switch (CommandReader.read(arguments, System.getenv())) {
            case CommandInput.Help help -> end(help.text());
            case CommandInput.Version version -> end("wasabilug-standin " + buildVersion());
            case CommandInput.Invalid invalid -> {
                invalid.findings().forEach(System.err::println);
                System.exit(EXIT_WRONG_SETTINGS);
            }
            case CommandInput.Valid valid when valid.checkOnly() -> end("The settings are right.");
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

    /** The JVM would end with the number of the signal; a stop on request is a success. */
    private static void stop(StandInDaemon daemon) {
        daemon.close();
        System.out.flush();
        Runtime.getRuntime().halt(EXIT_DONE);
    }

    private static void end(String text) {
        System.out.println(text);
        System.exit(EXIT_DONE);
    }

    private static String buildVersion() {
        Properties properties = new Properties();
        try (InputStream stream = StandInMain.class.getResourceAsStream(BUILD_PROPERTIES)) {
            if (stream != null) {
                properties.load(stream);
            }
        } catch (IOException exception) {
            return "of an unreadable build: " + exception.getMessage();
        }
        return properties.getProperty("version", "of an unpackaged build");
    }
}
