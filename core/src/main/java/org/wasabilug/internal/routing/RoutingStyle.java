package org.wasabilug.internal.routing;

/** Way in which an endpoint is chosen among those that may take an attempt. */
public sealed interface RoutingStyle {
    /**
     * Soonest predicted finish of a few drawn at random, with prefix-cache affinity.
     *
     * @param choices how many are drawn, 2 or more
     */
    record Adaptive(int choices) implements RoutingStyle {}

    /** Each in turn. */
    record RoundRobin() implements RoutingStyle {}

    /** Least load by the last reports as they are. */
    record LeastReportedLoad() implements RoutingStyle {}
}
