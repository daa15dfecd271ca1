package org.wasabilug.model;

/** Shape of an endpoint's answer. */
public enum CallProtocol {
    /** Server-sent events, one chunk each. */
    STREAMED,
    /** One whole body. */
    WHOLE
}
