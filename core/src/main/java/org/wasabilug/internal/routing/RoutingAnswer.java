package org.wasabilug.internal.routing;

import org.wasabilug.model.Endpoint;

/** Answer of the router. */
public sealed interface RoutingAnswer {
    /**
     * Run the attempt there now.
     *
     * @param endpoint the endpoint
     * @param candidates how many endpoints were considered
     * @param reason why this one, for the log
     */
    record Chosen(Endpoint endpoint, int candidates, String reason) implements RoutingAnswer {}

    /**
     * Endpoints exist, but none has room now.
     *
     * @param candidates how many endpoints were considered
     * @param reason why, for the log
     */
    record NoRoom(int candidates, String reason) implements RoutingAnswer {}

    /**
     * No endpoint of the pool may take work at all.
     *
     * @param reason why, for the log and the caller
     */
    record NoEndpoint(String reason) implements RoutingAnswer {}
}
