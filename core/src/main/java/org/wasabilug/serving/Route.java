package org.wasabilug.serving;

import java.util.List;

/**
 * Destination and treatment of the requests for one host and path prefix.
 *
 * @param name name of the route
 * @param host host name without port, in lower case
 * @param prefix path prefix, which starts and ends with a slash
 * @param kind whether requests may be repeated
 * @param timeoutMillis maximum time until the answer, in milliseconds
 * @param objectiveMillis time within which an answer has its full value, in milliseconds
 * @param eventPauseMillis maximum interval between two events of a timely stream, in milliseconds;
 *     0 if not set
 * @param rank priority class; 0 is the most urgent
 * @param services services that share the requests
 * @param maximumAttempts maximum number of endpoints that may run one request
 * @param stages stages that run before the request itself
 * @param anonymous true if no key is required
 * @param resumable true if a stream may be resumed at another endpoint
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        long timeoutMillis,
        long objectiveMillis,
        long eventPauseMillis,
        int rank,
        List<WeightedService> services,
        int maximumAttempts,
        List<RouteStage> stages,
        boolean anonymous,
        boolean resumable) {
    /** Copies the lists. */
    public Route {
        services = List.copyOf(services);
        stages = List.copyOf(stages);
    }

    /**
     * Returns whether a request may run more than once, which is true for repeatable requests and
     * for resumable streams.
     */
    public boolean idempotent() {
        return kind == RequestKind.REPEATABLE || kind == RequestKind.STREAM && resumable;
    }
}
