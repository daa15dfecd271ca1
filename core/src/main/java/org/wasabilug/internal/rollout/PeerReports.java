package org.wasabilug.internal.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The latest reports of the other instances about one order. */
final class PeerReports {
    /** In a large fleet a report is up to 1.5 s old when it arrives, and some never arrive. */
    private static final long HEARD_MILLIS = 5_000;

    private final Map<String, Received> mReports = new HashMap<>();
    private long mHeardMillis = Long.MIN_VALUE / 2;
    private boolean mReported;

    private record Received(InstanceReport report, long millis) {}

    void received(String peer, InstanceReport report, long nowMillis) {
        mReports.put(peer, new Received(report, nowMillis));
        mHeardMillis = nowMillis;
        mReported = true;
    }

    /** Returns whether a peer has ever reported about the order. */
    boolean anyReported() {
        return mReported;
    }

    /** Returns whether any peer is heard, whether or not it reports about the order. */
    boolean anyHeard(long nowMillis) {
        return nowMillis - mHeardMillis <= HEARD_MILLIS;
    }

    /**
     * Records that a peer is heard that reports nothing about the order.
     *
     * @return whether it reported about it before
     */
    boolean notReported(String peer, long nowMillis) {
        mHeardMillis = nowMillis;
        return mReports.remove(peer) != null;
    }

    /** Adds the outcomes of all peers. */
    void addTo(OutcomeCounts candidate, OutcomeCounts baseline) {
        for (Received each : mReports.values()) {
            candidate.add(each.report().candidate());
            baseline.add(each.report().baseline());
        }
    }

    /**
     * Returns whether none of some instances uses the old version.
     *
     * @param instances names of the instances, without this one
     * @param unheardDrained whether instances that are not heard have had time to stop using it
     */
    boolean drained(Collection<String> instances, boolean unheardDrained, long nowMillis) {
        return instances.stream()
                .allMatch(
                        name -> {
                            Received last = mReports.get(name);
                            boolean heard =
                                    last != null && nowMillis - last.millis() <= HEARD_MILLIS;
                            return heard ? last.report().drained() : unheardDrained;
                        });
    }
}
