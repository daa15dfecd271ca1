package org.wasabilug.measure;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.function.Supplier;

/**
 * Prints the cost of the decision core of one instance: memory and CPU time when idle by number of
 * watched endpoints, and CPU time of a request by number of chunks in its results.
 */
public final class InstanceCost {
    private static final int ENDPOINTS_PER_POOL = 96;
    private static final int POOLS = 16;
    private static final int COLLECTIONS_BEFORE_MEASUREMENT = 4;
    private static final Duration WARM_UP = Duration.ofSeconds(30);
    private static final Duration MEASURED_IDLE_TIME = Duration.ofSeconds(120);
    private static final int REQUESTS = 20_000;
    private static final int REQUESTS_PER_STEP = 10;
    private static final Duration STEP = Duration.ofMillis(100);

    private InstanceCost() {}

    /**
     * Runs all measurements.
     *
     * @param arguments ignored
     */
    public static void main(String[] arguments) {
        for (int pools : new int[] {1, 1, 4, 8, 16}) {
            measureIdle(pools);
        }
        for (int entries : new int[] {0, 64, 512}) {
            measureCaches(entries);
        }
        for (int pools : new int[] {4, 16}) {
            for (int chunks : new int[] {1, 17, 65}) {
                measureRequests(pools, chunks);
            }
        }
    }

    private static void measureIdle(int pools) {
        long before = usedBytes();
        MeasuredInstance instance = new MeasuredInstance(pools, ENDPOINTS_PER_POOL, 1);
        instance.advance(WARM_UP);
        long bytes = usedBytes() - before;
        long polls = instance.polls();
        long nanos = cpuNanos(() -> runIdle(instance));
        double seconds = MEASURED_IDLE_TIME.toSeconds();
        System.out.printf(
                "idle, %d endpoints: %d KB, %.1f polls/s, %.3f ms CPU time per second%n",
                pools * ENDPOINTS_PER_POOL,
                bytes / 1_000,
                (instance.polls() - polls) / seconds,
                nanos / 1e6 / seconds);
    }

    private static void measureCaches(int entries) {
        MeasuredInstance instance = new MeasuredInstance(POOLS, ENDPOINTS_PER_POOL, 1);
        instance.advance(WARM_UP);
        long before = usedBytes();
        instance.fillCaches(entries);
        long bytes = usedBytes() - before;
        System.out.printf(
                "%d cached prefixes for each of %d endpoints: %d KB%n",
                entries, POOLS * ENDPOINTS_PER_POOL, bytes / 1_000);
        runIdle(instance);
    }

    private static MeasuredInstance runIdle(MeasuredInstance instance) {
        instance.advance(MEASURED_IDLE_TIME);
        return instance;
    }

    private static void measureRequests(int pools, int chunks) {
        MeasuredInstance instance = new MeasuredInstance(pools, ENDPOINTS_PER_POOL, chunks);
        instance.advance(WARM_UP);
        runRequests(instance);
        long completed = instance.completed();
        long nanos = cpuNanos(() -> runRequests(instance));
        System.out.printf(
                "%d endpoints, 4 stages of %d chunks: %d requests, %.1f us CPU time each%n",
                pools * ENDPOINTS_PER_POOL,
                chunks,
                instance.completed() - completed,
                nanos / 1e3 / REQUESTS);
    }

    private static MeasuredInstance runRequests(MeasuredInstance instance) {
        for (int request = 0; request < REQUESTS; request++) {
            instance.submitRequest();
            if (request % REQUESTS_PER_STEP == 0) {
                instance.advance(STEP);
            }
        }
        return instance;
    }

    private static long cpuNanos(Supplier<MeasuredInstance> work) {
        long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        work.get();
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before;
    }

    private static long usedBytes() {
        for (int count = 0; count < COLLECTIONS_BEFORE_MEASUREMENT; count++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
