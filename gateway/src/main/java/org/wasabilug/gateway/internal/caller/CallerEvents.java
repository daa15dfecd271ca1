package org.wasabilug.gateway.internal.caller;

import io.netty.handler.codec.http.HttpResponseStatus;

/** Receives the requests of callers; called on the event loop. */
public interface CallerEvents {
    /**
     * Called when a complete request has arrived.
     *
     * @param exchange the request
     */
    void received(CallerExchange exchange);

    /**
     * Called when a connection is closed although whole requests arrived that get no response.
     *
     * @param reason why it is closed
     * @param requests number of those requests
     */
    void unanswered(String reason, int requests);

    /**
     * Called when a request was refused before it was complete.
     *
     * @param status status of the refusal
     */
    void refused(HttpResponseStatus status);

    /**
     * Called when a limit on all callers together, or on their rate, acts on a connection.
     *
     * @param limit name of the limit
     */
    void limited(String limit);
}
