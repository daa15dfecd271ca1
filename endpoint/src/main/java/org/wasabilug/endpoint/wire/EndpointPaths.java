package org.wasabilug.endpoint.wire;

/** Paths, query parameters and headers of endpoints. */
public final class EndpointPaths {
    /** Tells the load. */
    public static final String LOAD = "/v1/load";

    /** Tells changes of the prefix cache. */
    public static final String CACHE_EVENTS = "/v1/cache-events";

    /** Query parameter with the sequence number of the last event that was seen. */
    public static final String AFTER_PARAMETER = "after";

    /** Reads the engine's state or orders another. */
    public static final String STATE = "/v1/state";

    /** Header of an answer that carries a load report. */
    public static final String LOAD_HEADER = "Wasabilug-Load";

    /** Header of a refusal that came before any work. */
    public static final String NOT_RUN_HEADER = "Wasabilug-Not-Run";

    private EndpointPaths() {}
}
