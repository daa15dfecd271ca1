package org.wasabilug.gateway.internal.endpoint;

/** Why a call has no complete answer. */
public enum CallFailure {
    /** No connection could be opened; nothing was sent. */
    NOT_CONNECTED,
    /** Nothing came back from the endpoint's address; nothing was sent. */
    SILENT,
    /** The connection ended after the request may have been sent. */
    BROKEN,
    /** What came is no answer of the protocol. */
    GARBLED;

    /**
     * Tells whether the endpoint surely got nothing.
     *
     * @return true where no connection was there to send on
     */
    public boolean nothingSent() {
        return this == NOT_CONNECTED || this == SILENT;
    }
}
