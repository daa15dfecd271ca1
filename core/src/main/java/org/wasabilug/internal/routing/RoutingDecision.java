package org.wasabilug.internal.routing;

import org.wasabilug.model.Endpoint;

/** Answer of the router. */
public sealed interface RoutingDecision {
    /**
     * Run the attempt there now.
     *
     * @param endpoint the endpoint
     * @param candidates how many endpoints were considered
     * @param reason why this one, for the log
     */
    record Chosen(Endpoint endpoint, int candidates, String reason) implements RoutingDecision {}

    /**
     * Endpoints exist, but none has room now.
     *
     * @param candidates how many endpoints were considered
     * @param reason why, for the log
     */
    record NoCapacity(int candidates, String reason) implements RoutingDecision {}

    /**
     * No endpoint of the pool may take work at all.
     *
     * @param reason why, for the log and the caller
     */
    record NoEndpoint(String reason) implements RoutingDecision {}
}
