package org.wasabilug.measure;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.function.Supplier;

/**
 * Prints what the decision core of one instance costs: memory and processor time at rest by
 * endpoints watched, and processor time of a request by chunks of its results.
 */
public final class InstanceCost {
    private static final int ENDPOINTS_PER_POOL = 96;
    private static final int POOLS = 16;
    private static final int SETTLING_COLLECTIONS = 4;
    private static final Duration WARM_UP = Duration.ofSeconds(30);
    private static final Duration MEASURED = Duration.ofSeconds(120);
    private static final int REQUESTS = 20_000;
    private static final int REQUESTS_PER_STEP = 10;
    private static final Duration STEP = Duration.ofMillis(100);

    private InstanceCost() {}

    /**
     * Runs every measurement.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        for (int pools : new int[] {1, 1, 4, 8, 16}) {
            rest(pools);
        }
        for (int entries : new int[] {0, 64, 512}) {
            caches(entries);
        }
        for (int pools : new int[] {4, 16}) {
            for (int chunks : new int[] {1, 17, 65}) {
                requests(pools, chunks);
            }
        }
    }

    private static void rest(int pools) {
        long before = usedBytes();
        MeasuredInstance instance = new MeasuredInstance(pools, ENDPOINTS_PER_POOL, 1);
        instance.pass(WARM_UP);
        long bytes = usedBytes() - before;
        long polls = instance.polls();
        long nanos = processorNanos(() -> passed(instance));
        double seconds = MEASURED.toSeconds();
        System.out.printf(
                "at rest, %d endpoints: %d KB, %.1f polls/s, %.3f ms processor time a second%n",
                pools * ENDPOINTS_PER_POOL,
                bytes / 1_000,
                (instance.polls() - polls) / seconds,
                nanos / 1e6 / seconds);
    }

    private static void caches(int entries) {
        MeasuredInstance instance = new MeasuredInstance(POOLS, ENDPOINTS_PER_POOL, 1);
        instance.pass(WARM_UP);
        long before = usedBytes();
        instance.fillCaches(entries);
        long bytes = usedBytes() - before;
        System.out.printf(
                "%d cached prefixes of each of %d endpoints: %d KB%n",
                entries, POOLS * ENDPOINTS_PER_POOL, bytes / 1_000);
        passed(instance);
    }

    private static MeasuredInstance passed(MeasuredInstance instance) {
        instance.pass(MEASURED);
        return instance;
    }

    private static void requests(int pools, int chunks) {
        MeasuredInstance instance = new MeasuredInstance(pools, ENDPOINTS_PER_POOL, chunks);
        instance.pass(WARM_UP);
        run(instance);
        long completed = instance.completed();
        long nanos = processorNanos(() -> run(instance));
        System.out.printf(
                "%d endpoints, 4 stages of %d chunks: %d requests, %.1f us processor time each%n",
                pools * ENDPOINTS_PER_POOL,
                chunks,
                instance.completed() - completed,
                nanos / 1e3 / REQUESTS);
    }

    private static MeasuredInstance run(MeasuredInstance instance) {
        for (int request = 0; request < REQUESTS; request++) {
            instance.request();
            if (request % REQUESTS_PER_STEP == 0) {
                instance.pass(STEP);
            }
        }
        return instance;
    }

    private static long processorNanos(Supplier<MeasuredInstance> work) {
        long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        work.get();
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before;
    }

    private static long usedBytes() {
        for (int count = 0; count < SETTLING_COLLECTIONS; count++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
