package org.wasabilug.gateway.internal.endpoint;

/** Whether the process of an endpoint outlived a connection, as its other connections tell. */
public enum EndpointSurvival {
    /** Another connection that was open before is still open. */
    SURVIVED,
    /** All others have ended, one of them at the same time. */
    ENDED,
    /** There were no others. */
    UNKNOWN
}
