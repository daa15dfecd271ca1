package org.wasabilug.bench;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;
import org.wasabilug.bench.internal.latency.LatencyCommand;
import org.wasabilug.bench.internal.program.CommandInput;
import org.wasabilug.bench.internal.program.CommandReader;
import org.wasabilug.bench.internal.program.VirtualCommand;

/** Entry point of {@code wasabilug-bench}, which runs load experiments. */
public final class BenchMain {
    private static final int EXIT_DONE = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final String BUILD_PROPERTIES =
            "/META-INF/maven/org.wasabilug/bench/pom.properties";

    private BenchMain() {}

    /**
     * Runs one subcommand.
     *
     * @param arguments subcommand and flags; see {@code --help}
     */
    public static void main(String[] arguments) {
        switch (CommandReader.read(arguments, System.getenv(), buildVersion())) {
            case CommandInput.PrintText print -> System.out.println(print.text());
            case CommandInput.Invalid invalid -> {
                invalid.findings().forEach(System.err::println);
                System.exit(EXIT_INVALID_SETTINGS);
            }
            case CommandInput.Virtual virtual -> run(virtual);
            case CommandInput.Latency latency -> {
                if (!run(latency)) {
                    System.exit(EXIT_FAILED);
                }
            }
        }
        System.exit(EXIT_DONE);
    }

    private static void run(CommandInput.Virtual virtual) {
        VirtualCommand command = new VirtualCommand(virtual.settings(), System.out);
        Runtime.getRuntime().addShutdownHook(new Thread(command::interrupt, "stop"));
        command.run();
    }

    private static boolean run(CommandInput.Latency latency) {
        return new LatencyCommand(
                        latency.requestsPerSecond(),
                        latency.stages(),
                        latency.seconds(),
                        latency.idleSeconds(),
                        System.out)
                .run();
    }

    private static String buildVersion() {
        Properties properties = new Properties();
        try (InputStream stream = BenchMain.class.getResourceAsStream(BUILD_PROPERTIES)) {
            if (stream != null) {
                properties.load(stream);
            }
        } catch (IOException exception) {
            return "unknown; the build properties cannot be read: " + exception.getMessage();
        }
        return properties.getProperty("version", "unknown; the build is not packaged");
    }
}
