package org.wasabilug.internal.routing;

/** Algorithm for choosing an endpoint among those that may receive an attempt. */
public sealed interface RoutingStyle {
    /**
     * Chooses the earliest predicted finish among a random sample, with prefix-cache affinity.
     *
     * @param choices sample size, at least 2
     */
    record Adaptive(int choices) implements RoutingStyle {}

    /** Chooses the endpoints in rotation. */
    record RoundRobin() implements RoutingStyle {}

    /** Chooses the least load according to the last reports, unmodified. */
    record LeastReportedLoad() implements RoutingStyle {}
}
