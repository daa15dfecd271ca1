package org.wasabilug.internal.serving;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The software versions of one service, as they are recorded for instances that start later.
 *
 * @param leftMillis for each version the time of the store's clock, in milliseconds, by which its
 *     last endpoint had left; empty while there was one when the record was written
 */
public record SoftwareVersionRecord(Map<String, Optional<Long>> leftMillis) {
    /** A record without versions. */
    public static final SoftwareVersionRecord EMPTY = new SoftwareVersionRecord(Map.of());

    /** Copies the map. */
    public SoftwareVersionRecord {
        leftMillis = Map.copyOf(leftMillis);
    }

    /**
     * Returns the record that follows this one.
     *
     * @param registered versions that have an endpoint now
     * @param recent versions that had one lately
     * @param storeMillis current time of the store's clock, in milliseconds
     */
    public SoftwareVersionRecord updated(
            Set<String> registered, Collection<String> recent, long storeMillis) {
        Map<String, Optional<Long>> updated = new TreeMap<>();
        recent.forEach(version -> updated.put(version, Optional.of(storeMillis)));
        recentAgesMillis(storeMillis)
                .forEach((version, age) -> updated.put(version, Optional.of(storeMillis - age)));
        registered.forEach(version -> updated.put(version, Optional.empty()));
        return new SoftwareVersionRecord(updated);
    }

    /**
     * Returns the versions that had an endpoint lately, with the time since then in milliseconds.
     *
     * @param storeMillis current time of the store's clock, in milliseconds
     */
    public Map<String, Long> recentAgesMillis(long storeMillis) {
        Map<String, Long> ages = new TreeMap<>();
        leftMillis.forEach(
                (version, left) -> {
                    long age = ageMillis(left, storeMillis);
                    if (age <= SoftwareVersions.RETENTION_MILLIS) {
                        ages.put(version, age);
                    }
                });
        return ages;
    }

    /** Returns how long ago a version left; 0 if that is not known or lies in the future. */
    private static long ageMillis(Optional<Long> left, long storeMillis) {
        return left.map(millis -> Math.max(0, storeMillis - millis)).orElse(0L);
    }
}
