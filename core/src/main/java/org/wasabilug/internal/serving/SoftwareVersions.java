package org.wasabilug.internal.serving;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.wasabilug.serving.EndpointRegistration;

/**
 * Software versions of the endpoints of each service, including those that left lately.
 *
 * <p>The versions that this instance has seen are all that there were only if it has watched for
 * long enough, or has read what was recorded before.
 */
public final class SoftwareVersions {
    /** Longer than a stream and its resumptions last. */
    static final long RETENTION_MILLIS = 60_000;

    private final Map<String, Map<String, Long>> mSeenMillis = new HashMap<>();
    private long mWatchedSinceMillis = Long.MAX_VALUE;
    private boolean mHistoryRead;

    /**
     * Records that an endpoint is registered.
     *
     * @param registration its registration
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void record(EndpointRegistration registration, long nowMillis) {
        seen(registration.service(), registration.softwareVersion(), nowMillis);
    }

    private void seen(String service, String softwareVersion, long millis) {
        mSeenMillis
                .computeIfAbsent(service, name -> new HashMap<>())
                .merge(softwareVersion, millis, Math::max);
    }

    /**
     * Records that all endpoints were read anew, so that some may have come and gone unseen before.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void watchedSince(long nowMillis) {
        mWatchedSinceMillis = nowMillis;
        mHistoryRead = false;
    }

    /**
     * Adds what was recorded about a service.
     *
     * @param service name of the service
     * @param record the record
     * @param storeMillis current time of the store's clock, in milliseconds
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void add(
            String service, SoftwareVersionRecord record, long storeMillis, long nowMillis) {
        record.recentAgesMillis(storeMillis)
                .forEach((version, age) -> seen(service, version, nowMillis - age));
    }

    /** Records that the records of all services were added. */
    public void historyRead() {
        mHistoryRead = true;
    }

    /**
     * Returns whether all versions are known that were registered lately.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public boolean complete(long nowMillis) {
        return mHistoryRead || nowMillis - RETENTION_MILLIS > mWatchedSinceMillis;
    }

    /**
     * Returns the versions of a service that were registered lately, as far as they are known.
     *
     * @param service name of the service
     * @param nowMillis current monotonic time, in milliseconds
     */
    public Set<String> recent(String service, long nowMillis) {
        Map<String, Long> seen = mSeenMillis.getOrDefault(service, new HashMap<>());
        seen.values().removeIf(millis -> nowMillis - millis > RETENTION_MILLIS);
        return new HashSet<>(seen.keySet());
    }
}
