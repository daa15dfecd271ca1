package org.wasabilug.endpoint.wire;

/** Paths, query parameters and headers of the endpoint protocol. */
public final class EndpointPaths {
    /** Path that returns the load of an endpoint. */
    public static final String LOAD = "/v1/load";

    /** Path that returns changes of the prefix cache. */
    public static final String CACHE_EVENTS = "/v1/cache-events";

    /** Query parameter with the sequence number of the last event received. */
    public static final String AFTER_PARAMETER = "after";

    /** Path that returns the engine's state or accepts an order for another one. */
    public static final String STATE = "/v1/state";

    /** Response header with a load report. */
    public static final String LOAD_HEADER = "Wasabilug-Load";

    /** Response header of a refusal for which the endpoint did no work. */
    public static final String NOT_RUN_HEADER = "Wasabilug-Not-Run";

    private EndpointPaths() {}
}
