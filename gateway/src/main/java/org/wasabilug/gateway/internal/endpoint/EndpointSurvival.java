package org.wasabilug.gateway.internal.endpoint;

/** Whether the process of an endpoint outlived a connection, as its other connections tell. */
public enum EndpointSurvival {
    /** Another connection that was open before is still open. */
    SURVIVED,
    /** No other that was open before is still open, and one of them ended at the same time. */
    ENDED,
    /** No other can tell. */
    UNKNOWN
}
