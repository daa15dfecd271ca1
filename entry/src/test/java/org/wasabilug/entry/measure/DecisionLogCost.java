package org.wasabilug.entry.measure;

import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.wasabilug.entry.internal.actor.DecisionLog;
import org.wasabilug.internal.event.Decision;

/**
 * Measures the decision log: time per line for the writing thread and processor time for the
 * process, maximum lines per second, and bytes per line. Arguments are the number of lines and the
 * file to which standard output is redirected.
 */
public final class DecisionLogCost {
    private static final int FLEET_REQUESTS_PER_SECOND = 10_000;
    private static final int STAGES = 4;
    private static final int INSTANCES = 450;
    private static final int WARM_UP_LINES = 200_000;

    private DecisionLogCost() {}

    /**
     * Runs the measurement.
     *
     * @param arguments number of lines, and the file to which standard output is redirected
     */
    public static void main(String[] arguments) throws java.io.IOException {
        int lines = Integer.parseInt(arguments[0]);
        Path file = Path.of(arguments[1]);
        write(WARM_UP_LINES);
        long bytesBefore = Files.size(file);
        long processorNanosBefore = processorNanos();
        long start = System.nanoTime();
        write(lines);
        long submitted = System.nanoTime();
        LogManager.shutdown();
        long flushed = System.nanoTime();
        report(
                lines,
                Files.size(file) - bytesBefore,
                submitted - start,
                flushed - start,
                processorNanos() - processorNanosBefore);
    }

    private static void write(int lines) {
        for (int line = 0; line < lines; line++) {
            DecisionLog.write(
                    new Decision(
                            "route",
                            "frigoval:transfer-" + line,
                            "frigoval",
                            "generate",
                            12,
                            "rennes-engine-7",
                            "least predicted finish of two, own failure domain",
                            3_120));
        }
    }

    private static long processorNanos() {
        return ((com.sun.management.OperatingSystemMXBean)
                        ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    private static void report(
            int lines, long bytes, long callNanos, long flushedNanos, long processorNanos) {
        double perLine = (double) bytes / lines;
        double instanceLines = (double) FLEET_REQUESTS_PER_SECOND * STAGES / INSTANCES;
        double processorMicros = processorNanos / 1e3 / lines;
        System.err.printf(
                "%d lines: %.0f bytes each, %.0f lines/s at most, %.2f us processor time each,"
                        + " %.2f us each for the writing thread%n",
                lines,
                perLine,
                lines / (flushedNanos / (double) TimeUnit.SECONDS.toNanos(1)),
                processorMicros,
                callNanos / 1e3 / lines);
        System.err.printf(
                "at %d requests/s of %d stages over %d instances: %.0f lines/s, %.1f KB/s and"
                        + " %.3f%% of a core for each instance, %.1f MB/s for the fleet%n",
                FLEET_REQUESTS_PER_SECOND,
                STAGES,
                INSTANCES,
                instanceLines,
                instanceLines * perLine / 1e3,
                instanceLines * processorMicros / 1e4,
                FLEET_REQUESTS_PER_SECOND * STAGES * perLine / 1e6);
        System.err.printf(
                "a single instance at %d requests/s: %d lines/s, %.1f MB/s, %.0f%% of a core%n",
                FLEET_REQUESTS_PER_SECOND,
                FLEET_REQUESTS_PER_SECOND * STAGES,
                FLEET_REQUESTS_PER_SECOND * STAGES * perLine / 1e6,
                FLEET_REQUESTS_PER_SECOND * STAGES * processorMicros / 1e4);
    }
}
