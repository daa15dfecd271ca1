package org.wasabilug.internal.routing;

import org.wasabilug.model.Endpoint;

/** Decision of the router. */
public sealed interface RoutingDecision {
    /**
     * The attempt can be sent to an endpoint immediately.
     *
     * @param endpoint the endpoint
     * @param candidates number of endpoints considered
     * @param reason reason for choosing this endpoint, for the log
     */
    record Chosen(Endpoint endpoint, int candidates, String reason) implements RoutingDecision {}

    /**
     * Endpoints exist, but none has free capacity.
     *
     * @param candidates number of endpoints considered
     * @param reason description of the cause
     */
    record NoCapacity(int candidates, String reason) implements RoutingDecision {}

    /**
     * No endpoint of the pool may receive work.
     *
     * @param reason description of the cause
     */
    record NoEndpoint(String reason) implements RoutingDecision {}
}
