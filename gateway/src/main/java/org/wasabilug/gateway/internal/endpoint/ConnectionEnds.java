package org.wasabilug.gateway.internal.endpoint;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tells from the connections to an endpoint whether its process outlived one of them: when a
 * process ends, all of its connections end at once.
 */
final class ConnectionEnds {
    /** Connections of one process that ends are noticed within this. */
    private static final long AT_ONCE_MILLIS = 50;

    private final Map<String, Set<EndpointConnection>> mOpen = new HashMap<>();

    /** When the endpoint last closed a connection that owed a marked end, or was idle. */
    private final Map<String, Long> mClosedMillis = new HashMap<>();

    void opened(EndpointConnection connection) {
        mOpen.computeIfAbsent(connection.endpoint(), name -> new HashSet<>()).add(connection);
    }

    /**
     * Records the end of a connection.
     *
     * @param byEndpoint whether the endpoint closed it, but not as the end of a response
     */
    void closed(EndpointConnection connection, boolean byEndpoint, long nowMillis) {
        String endpoint = connection.endpoint();
        mOpen.computeIfPresent(
                endpoint,
                (name, open) -> {
                    open.remove(connection);
                    return open.isEmpty() ? null : open;
                });
        if (byEndpoint) {
            mClosedMillis.put(endpoint, nowMillis);
        }
    }

    /**
     * Returns whether an endpoint outlived a connection.
     *
     * @param endpoint name of the endpoint
     * @param direct whether the connection was direct; only others like it can tell
     * @param endedMillis when the connection ended
     */
    EndpointSurvival survival(String endpoint, boolean direct, long endedMillis) {
        boolean open =
                mOpen.getOrDefault(endpoint, Set.of()).stream()
                        .anyMatch(each -> each.relay().isEmpty() == direct);
        if (open) {
            return EndpointSurvival.SURVIVED;
        }
        Long closedMillis = mClosedMillis.get(endpoint);
        boolean together =
                closedMillis != null && Math.abs(closedMillis - endedMillis) <= AT_ONCE_MILLIS;
        return together ? EndpointSurvival.ENDED : EndpointSurvival.UNKNOWN;
    }

    /** Forgets ends that can't matter any more. */
    void forgetBefore(long millis) {
        mClosedMillis.values().removeIf(closed -> closed < millis);
    }
}
