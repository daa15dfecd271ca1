package org.wasabilug.gateway.internal.endpoint;

/** Reasons why a call has no complete response; the names appear in the log. */
public enum CallFailure {
    /** The connection could not be opened; nothing was sent. */
    NOT_CONNECTED,
    /**
     * The connection attempt timed out without a reply from the endpoint's address; nothing was
     * sent.
     */
    SILENT,
    /**
     * This instance does not reach the endpoint, and no other instance passed the call on; nothing
     * was sent.
     */
    NOT_RELAYED,
    /** The connection ended after the request may have been sent. */
    BROKEN,
    /** The response ended properly, but its content is not whole. */
    CUT_SHORT,
    /** The response ended with its connection, and so did the endpoint's process. */
    ENDED_WITH_ENDPOINT,
    /** The id of an event of a stream is not greater than that of the one before. */
    OUT_OF_ORDER,
    /** The response exceeds a limit of its size. */
    TOO_LARGE,
    /** The received bytes are not a valid HTTP response. */
    GARBLED;

    /** Returns whether the process of the endpoint may have ended. */
    public boolean mayBeCrash() {
        return this == BROKEN || this == CUT_SHORT || this == ENDED_WITH_ENDPOINT;
    }

    /** Returns whether the endpoint certainly received nothing, as there was no connection. */
    public boolean nothingSent() {
        return this == NOT_CONNECTED || this == SILENT || this == NOT_RELAYED;
    }
}
