package org.wasabilug.gateway.internal.caller;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;

/** A limit that acts on a connection of a caller, and the status of the refusal. */
enum CallerLimit {
    HEADER_FIELDS(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),
    HEADER_TIME(HttpResponseStatus.REQUEST_TIMEOUT),
    BODY_RATE(HttpResponseStatus.REQUEST_TIMEOUT),
    MEMORY(HttpResponseStatus.SERVICE_UNAVAILABLE),
    CONNECTIONS(HttpResponseStatus.SERVICE_UNAVAILABLE),
    OUTPUT(HttpResponseStatus.SERVICE_UNAVAILABLE);

    private final HttpResponseStatus mStatus;

    CallerLimit(HttpResponseStatus status) {
        mStatus = status;
    }

    HttpResponseStatus status() {
        return mStatus;
    }

    /** Returns the name in log lines and counters. */
    String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
