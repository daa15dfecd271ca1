package org.wasabilug.internal.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.Row;

/**
 * Determines from reads of lease rows which sessions of other instances have ended.
 *
 * <p>Wall clocks are not compared. A session has ended once its row has stayed unchanged for a
 * whole term plus a margin on this process's monotonic clock, was released, or shows a higher
 * epoch.
 */
public final class LeaseObserver {
    private final LeaseSettings mSettings;
    private final Map<InstanceName, Observation> mObservations = new HashMap<>();

    /**
     * State of one row as observed; the last read that returned it was sent at {@code
     * unchangedUntilNanos}.
     */
    private record Observation(
            long version,
            LeaseRow value,
            long firstSeenNanos,
            long epochSeenNanos,
            long unchangedUntilNanos) {}

    /**
     * Creates an observer without observations.
     *
     * @param settings lease times; the term itself is read from each row
     */
    public LeaseObserver(LeaseSettings settings) {
        mSettings = settings;
    }

    /**
     * Records the result of a read.
     *
     * @param instance instance that the row belongs to
     * @param row the row; empty if it does not exist
     * @param sentNanos monotonic time when the read was sent, in nanoseconds
     * @param nowNanos monotonic time when its answer arrived, in nanoseconds
     */
    public void observe(InstanceName instance, Optional<Row> row, long sentNanos, long nowNanos) {
        long version = row.map(Row::version).orElse(0L);
        LeaseRow value = row.map(LeaseRow::of).orElseGet(this::unheldRow);
        Observation previous = mObservations.get(instance);
        if (previous == null || version > previous.version()) {
            boolean sameEpoch = previous != null && previous.value().epoch() == value.epoch();
            long epochSeen = sameEpoch ? previous.epochSeenNanos() : nowNanos;
            mObservations.put(
                    instance, new Observation(version, value, nowNanos, epochSeen, sentNanos));
        } else if (version == previous.version()) {
            long until = Math.max(sentNanos, previous.unchangedUntilNanos());
            mObservations.put(
                    instance,
                    new Observation(
                            version,
                            value,
                            previous.firstSeenNanos(),
                            previous.epochSeenNanos(),
                            until));
        }
    }

    private LeaseRow unheldRow() {
        return new LeaseRow(0, "", mSettings.term().toMillis(), false);
    }

    /**
     * Returns since when a session is known to have ended.
     *
     * @param instance instance that held the session
     * @param epoch epoch of the session
     * @return monotonic time, in nanoseconds; empty if the session may still be active
     */
    public OptionalLong endedSince(InstanceName instance, long epoch) {
        Observation observation = mObservations.get(instance);
        // Observations of an earlier session don't apply to a later one.
        if (observation == null || observation.value().epoch() < epoch) {
            return OptionalLong.empty();
        }
        if (observation.value().epoch() > epoch) {
            return OptionalLong.of(observation.epochSeenNanos());
        }
        if (observation.value().released()) {
            return OptionalLong.of(observation.firstSeenNanos());
        }
        long expiryNanos =
                observation.firstSeenNanos()
                        + observation.value().termMilliseconds() * 1_000_000
                        + mSettings.takeoverMargin().toNanos();
        return observation.unchangedUntilNanos() >= expiryNanos
                ? OptionalLong.of(expiryNanos)
                : OptionalLong.empty();
    }

    /**
     * Discards the observations of all other instances, to bound memory.
     *
     * @param instances instances to keep
     */
    public void retain(Set<InstanceName> instances) {
        mObservations.keySet().retainAll(instances);
    }
}
