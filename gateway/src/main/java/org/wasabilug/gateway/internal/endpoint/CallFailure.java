package org.wasabilug.gateway.internal.endpoint;

/** Why a call has no complete answer. */
public enum CallFailure {
    /** No connection could be opened; nothing was sent. */
    NOT_CONNECTED,
    /** The connection ended after the request may have been sent. */
    BROKEN,
    /** What came is no answer of the protocol. */
    GARBLED
}
