package org.wasabilug.model;

/** Format of an endpoint's answer. */
public enum CallProtocol {
    /** A stream of server-sent events, one chunk per event. */
    STREAMED,
    /** A single response body. */
    WHOLE
}
