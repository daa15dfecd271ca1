package org.wasabilug.bench.internal.latency;

import com.sun.management.OperatingSystemMXBean;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

/** Measures the latency that an entry instance adds to direct calls, and its idle CPU usage. */
public final class LatencyCommand {
    private static final int ENDPOINTS = 25;
    private static final int WARM_UP_SECONDS = 8;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double HIGH_PERCENTILE = 99;
    private static final double PERCENT = 100;

    private final int mPerSecond;
    private final int mStages;
    private final int mSeconds;
    private final int mIdleSeconds;
    private final PrintStream mOut;

    /**
     * Creates the command.
     *
     * @param perSecond requests per second
     * @param stages number of stages of the pipeline
     * @param seconds length of each measured phase
     * @param idleSeconds length of the idle measurement; 0 to skip it
     * @param out receives the results
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
     * Runs the measurement and prints the results.
     *
     * @return false if calls failed, so that the latencies cannot be compared
     */
    public boolean run() {
        try (LatencyRig rig = new LatencyRig(ENDPOINTS, mStages);
                HttpClient client =
                        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()) {
            mOut.println("Warming up.");
            new OpenLoopClient(client)
                    .run(rig::directRequest, mPerSecond, mPerSecond * WARM_UP_SECONDS);
            new OpenLoopClient(client)
                    .run(rig::instanceRequest, mPerSecond, mPerSecond * WARM_UP_SECONDS);
            OpenLoopClient direct = measure("straight", client, rig::directRequest);
            OpenLoopClient viaInstance = measure("through instance", client, rig::instanceRequest);
            if (direct.failures() + viaInstance.failures() > 0) {
                mOut.println(
                        "Calls failed, so latencies are not compared; see the failures above.");
                return false;
            }
            printAddedLatency(direct, viaInstance, MEDIAN_PERCENTILE);
            printAddedLatency(direct, viaInstance, HIGH_PERCENTILE);
            measureIdle();
            return true;
        }
    }

    private OpenLoopClient measure(
            String label, HttpClient client, Supplier<HttpRequest> requests) {
        OpenLoopClient loop = new OpenLoopClient(client);
        long cpuNanos = cpuNanos();
        loop.run(requests, mPerSecond, mPerSecond * mSeconds);
        double cores = (cpuNanos() - cpuNanos) / (double) TimeUnit.SECONDS.toNanos(mSeconds);
        mOut.printf(
                "%s: p50 %.3f ms, p99 %.3f ms, failures %d, %.2f cores for callers, instance and"
                        + " stand-ins%n",
                label,
                loop.percentileMilliseconds(MEDIAN_PERCENTILE),
                loop.percentileMilliseconds(HIGH_PERCENTILE),
                loop.failures(),
                cores);
        return loop;
    }

    private void printAddedLatency(
            OpenLoopClient direct, OpenLoopClient viaInstance, double percentile) {
        double added =
                viaInstance.percentileMilliseconds(percentile) / mStages
                        - direct.percentileMilliseconds(percentile);
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
