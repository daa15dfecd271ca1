package org.wasabilug.demo;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;

/** Prints per second the outcomes that callers see and the failure domains that served them. */
final class DemoTrafficReport {
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int PERCENT = 100;

    private final PrintStream mOut;
    private final DemoTraffic mTraffic;
    private final DemoStandIns mStandIns;

    DemoTrafficReport(PrintStream out, DemoTraffic traffic, DemoStandIns standIns) {
        mOut = out;
        mTraffic = traffic;
        mStandIns = standIns;
    }

    void printEachSecond(String title, int seconds) {
        mOut.println(title);
        for (int second = 1; second <= seconds; second++) {
            int answered = mTraffic.answered();
            int refused = mTraffic.refused();
            Map<String, Long> received = mStandIns.receivedCalls();
            LockSupport.parkNanos(SECOND_NANOS);
            mOut.println(
                    "  second "
                            + second
                            + ": "
                            + (mTraffic.answered() - answered)
                            + " answered, "
                            + (mTraffic.refused() - refused)
                            + " refused; stage calls by failure domain: "
                            + formatShares(received, mStandIns.receivedCalls()));
        }
    }

    static String formatShares(Map<String, Long> before, Map<String, Long> after) {
        Map<String, Long> calls = new HashMap<>();
        after.forEach((domain, count) -> calls.put(domain, count - before.get(domain)));
        long total = Math.max(1, calls.values().stream().mapToLong(Long::longValue).sum());
        return after.keySet().stream()
                .map(
                        domain ->
                                domain
                                        + " "
                                        + Math.round(calls.get(domain) * PERCENT / (double) total)
                                        + " %")
                .collect(Collectors.joining(", "));
    }
}
