package org.wasabilug.demo;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;

/** Prints the service that callers see, second by second, and where their calls ran. */
final class DemoService {
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int PER_CENT = 100;

    private final PrintStream mOut;
    private final DemoTraffic mTraffic;
    private final DemoStandIns mStandIns;

    DemoService(PrintStream out, DemoTraffic traffic, DemoStandIns standIns) {
        mOut = out;
        mTraffic = traffic;
        mStandIns = standIns;
    }

    void show(String title, int seconds) {
        mOut.println(title);
        for (int second = 1; second <= seconds; second++) {
            int answered = mTraffic.answered();
            int refused = mTraffic.refused();
            Map<String, Long> received = mStandIns.received();
            LockSupport.parkNanos(SECOND_NANOS);
            mOut.println(
                    "  second "
                            + second
                            + ": "
                            + (mTraffic.answered() - answered)
                            + " answered, "
                            + (mTraffic.refused() - refused)
                            + " refused; stage calls by failure domain: "
                            + shares(received, mStandIns.received()));
        }
    }

    static String shares(Map<String, Long> before, Map<String, Long> after) {
        Map<String, Long> calls = new HashMap<>();
        after.forEach((domain, count) -> calls.put(domain, count - before.get(domain)));
        long all = Math.max(1, calls.values().stream().mapToLong(Long::longValue).sum());
        return after.keySet().stream()
                .map(
                        domain ->
                                domain
                                        + " "
                                        + Math.round(calls.get(domain) * PER_CENT / (double) all)
                                        + " %")
                .collect(Collectors.joining(", "));
    }
}
