package org.wasabilug.serving;

import java.util.List;

/**
 * Where requests of one host and path go, and how they may be treated.
 *
 * @param name name of the route
 * @param host host without port, in lower case
 * @param prefix beginning of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMillis longest time to an answer
 * @param objectiveMillis time within which an answer has its full value
 * @param eventPauseMillis longest pause between two events of a timely stream; 0 where none is set
 * @param rank urgency, 0 first
 * @param services services that share the requests
 * @param maximumAttempts endpoints that may run one request
 * @param stages work that comes first
 * @param anonymous true where no key is needed
 * @param resumable true where a stream may go on at another endpoint
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
     * Tells whether a request may run more than once.
     *
     * @return true for repeatable requests and for resumable streams
     */
    public boolean idempotent() {
        return kind == RequestKind.REPEATABLE || kind == RequestKind.STREAM && resumable;
    }
}
