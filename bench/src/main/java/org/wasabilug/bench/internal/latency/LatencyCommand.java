package org.wasabilug.bench.internal.latency;

import com.sun.management.OperatingSystemMXBean;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

/** Measures an entry instance beside its stand-in in one run, and the cost of being idle. */
public final class LatencyCommand {
    private static final int ENDPOINTS = 25;
    private static final int WARM_UP_SECONDS = 8;
    private static final double MEDIAN = 50;
    private static final double HIGH = 99;
    private static final double PERCENT = 100;

    private final int mPerSecond;
    private final int mStages;
    private final int mSeconds;
    private final int mIdleSeconds;
    private final PrintStream mOut;

    /**
     * Prepares the command.
     *
     * @param perSecond requests a second
     * @param stages stages of the pipeline
     * @param seconds length of each measured part
     * @param idleSeconds how long the cost of an idle process is measured; 0 for not at all
     * @param out receives the figures
     */
    public LatencyCommand(
            int perSecond, int stages, int seconds, int idleSeconds, PrintStream out) {
        mPerSecond = perSecond;
        mStages = stages;
        mSeconds = seconds;
        mIdleSeconds = idleSeconds;
        mOut = out;
    }

    /**
     * Measures and prints.
     *
     * @return false where calls failed, so that there is nothing to compare
     */
    public boolean run() {
        try (LatencyRig rig = new LatencyRig(ENDPOINTS, mStages);
                HttpClient client =
                        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()) {
            mOut.println("Warming up.");
            new OpenLoop(client).run(rig::straight, mPerSecond, mPerSecond * WARM_UP_SECONDS);
            new OpenLoop(client)
                    .run(rig::throughInstance, mPerSecond, mPerSecond * WARM_UP_SECONDS);
            OpenLoop straight = measure("straight", client, rig::straight);
            OpenLoop through = measure("through instance", client, rig::throughInstance);
            if (straight.failures() + through.failures() > 0) {
                mOut.println("Calls failed, so nothing is compared; see the failures above.");
                return false;
            }
            printAdded(straight, through, MEDIAN);
            printAdded(straight, through, HIGH);
            measureIdle();
            return true;
        }
    }

    private OpenLoop measure(String what, HttpClient client, Supplier<HttpRequest> requests) {
        OpenLoop loop = new OpenLoop(client);
        long cpuNanos = cpuNanos();
        loop.run(requests, mPerSecond, mPerSecond * mSeconds);
        double cores = (cpuNanos() - cpuNanos) / (double) TimeUnit.SECONDS.toNanos(mSeconds);
        mOut.printf(
                "%s: p50 %.3f ms, p99 %.3f ms, failures %d, %.2f cores for callers, instance and"
                        + " stand-ins%n",
                what,
                loop.percentileMilliseconds(MEDIAN),
                loop.percentileMilliseconds(HIGH),
                loop.failures(),
                cores);
        return loop;
    }

    private void printAdded(OpenLoop straight, OpenLoop through, double percentile) {
        double added =
                through.percentileMilliseconds(percentile) / mStages
                        - straight.percentileMilliseconds(percentile);
        mOut.printf("added at each of %d stages, p%.0f: %.3f ms%n", mStages, percentile, added);
    }

    private void measureIdle() {
        if (mIdleSeconds == 0) {
            return;
        }
        long cpuNanos = cpuNanos();
        LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(mIdleSeconds));
        double share = (cpuNanos() - cpuNanos) / (double) TimeUnit.SECONDS.toNanos(mIdleSeconds);
        mOut.printf(
                "idle: %.2f %% of a core for the instance and %d stand-ins%n",
                share * PERCENT, ENDPOINTS);
    }

    private static long cpuNanos() {
        return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getProcessCpuTime();
    }
}
