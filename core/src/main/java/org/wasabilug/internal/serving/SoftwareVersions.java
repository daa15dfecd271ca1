package org.wasabilug.internal.serving;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.wasabilug.serving.EndpointRegistration;

/** Software versions of the endpoints of each service, including those that left lately. */
public final class SoftwareVersions {
    /** Longer than a stream and its resumptions last. */
    private static final long RETENTION_MILLIS = 60_000;

    private final Map<String, Map<String, Long>> mSeenMillis = new HashMap<>();

    /**
     * Records that an endpoint is registered.
     *
     * @param registration its registration
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void record(EndpointRegistration registration, long nowMillis) {
        mSeenMillis
                .computeIfAbsent(registration.service(), service -> new HashMap<>())
                .put(registration.softwareVersion(), nowMillis);
    }

    /**
     * Returns the versions of a service that were registered lately.
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
