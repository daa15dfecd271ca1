package org.wasabilug.internal.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The latest reports of the other instances about one order. */
final class PeerReports {
    /** In a large fleet a report is up to 1.5 s old when it arrives, and some never arrive. */
    private static final long HEARD_MILLIS = 5_000;

    private final Map<String, Received> mReports = new HashMap<>();

    private record Received(InstanceReport report, long millis) {}

    void received(String peer, InstanceReport report, long nowMillis) {
        mReports.put(peer, new Received(report, nowMillis));
    }

    /** Removes the report of a peer and returns whether there was one. */
    boolean remove(String peer) {
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
