package org.wasabilug.internal.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.Row;

/**
 * Tells from reads of lease rows which sessions of other instances have ended.
 *
 * <p>No wall clocks are compared: a session has ended once its row stayed the same for a whole term
 * and a margin on this process's monotonic clock, was given back, or shows a higher epoch.
 */
public final class LeaseObserver {
    private final LeaseSettings mSettings;
    private final Map<InstanceName, Observation> mObservations = new HashMap<>();

    /** What was seen of one row; the last read that saw it was sent at {@code unchangedUntil}. */
    private record Observation(
            long version,
            LeaseRow value,
            long firstSeenNanos,
            long epochSeenNanos,
            long unchangedUntilNanos) {}

    /**
     * Creates an observer that has seen nothing.
     *
     * @param settings times of the leases; the term is read from each row
     */
    public LeaseObserver(LeaseSettings settings) {
        mSettings = settings;
    }

    /**
     * Notes what a read saw.
     *
     * @param instance whose row
     * @param row the row; empty where it does not exist
     * @param sentNanos when the read was sent
     * @param nowNanos when its answer was taken
     */
    public void observe(InstanceName instance, Optional<Row> row, long sentNanos, long nowNanos) {
        long version = row.map(Row::version).orElse(0L);
        LeaseRow value = row.map(LeaseRow::of).orElseGet(this::unheldRow);
        Observation before = mObservations.get(instance);
        if (before == null || version > before.version()) {
            boolean sameEpoch = before != null && before.value().epoch() == value.epoch();
            long epochSeen = sameEpoch ? before.epochSeenNanos() : nowNanos;
            mObservations.put(
                    instance, new Observation(version, value, nowNanos, epochSeen, sentNanos));
        } else if (version == before.version()) {
            long until = Math.max(sentNanos, before.unchangedUntilNanos());
            mObservations.put(
                    instance,
                    new Observation(
                            version,
                            value,
                            before.firstSeenNanos(),
                            before.epochSeenNanos(),
                            until));
        }
    }

    private LeaseRow unheldRow() {
        return new LeaseRow(0, "", mSettings.term().toMillis(), false);
    }

    /**
     * Tells since when a session is known to have ended.
     *
     * @param instance the holder
     * @param epoch epoch of the session
     * @return monotonic time, in nanoseconds; empty where the session may still hold
     */
    public OptionalLong endedSince(InstanceName instance, long epoch) {
        Observation sighting = mObservations.get(instance);
        // What was seen of an earlier session says nothing of a later one.
        if (sighting == null || sighting.value().epoch() < epoch) {
            return OptionalLong.empty();
        }
        if (sighting.value().epoch() > epoch) {
            return OptionalLong.of(sighting.epochSeenNanos());
        }
        if (sighting.value().released()) {
            return OptionalLong.of(sighting.firstSeenNanos());
        }
        long lapse =
                sighting.firstSeenNanos()
                        + sighting.value().termMilliseconds() * 1_000_000
                        + mSettings.takeoverMargin().toNanos();
        return sighting.unchangedUntilNanos() >= lapse
                ? OptionalLong.of(lapse)
                : OptionalLong.empty();
    }

    /**
     * Forgets every instance but those given, so that memory stays bounded.
     *
     * @param instances instances that are still of interest
     */
    public void retain(Set<InstanceName> instances) {
        mObservations.keySet().retainAll(instances);
    }
}
