package org.wasabilug.gateway.internal.caller;

import io.netty.handler.codec.http.HttpResponseStatus;

/** Receives what callers send; all calls come on the event loop. */
public interface CallerEvents {
    /**
     * A whole request has come.
     *
     * @param exchange the request
     */
    void received(CallerExchange exchange);

    /**
     * A caller became able, or unable, to take more of its answer.
     *
     * @param exchange its request
     */
    void writabilityChanged(CallerExchange exchange);

    /**
     * A request was refused before it was whole.
     *
     * @param status why
     */
    void refused(HttpResponseStatus status);
}
