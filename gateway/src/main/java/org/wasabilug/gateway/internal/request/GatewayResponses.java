package org.wasabilug.gateway.internal.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.caller.CallerExchange;
import org.wasabilug.gateway.internal.log.LogLine;

/** Responses that the gateway generates itself; each is logged. */
final class GatewayResponses {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final GatewayState mState;

    GatewayResponses(GatewayState state) {
        mState = state;
    }

    /** Reports that the request did not run and will not run, and when to retry. */
    void notRun(CallerExchange exchange, String reason, long retryAfterMillis) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(
                "Retry-After",
                String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND));
        respond(exchange, HttpResponseStatus.SERVICE_UNAVAILABLE, headers, reason);
    }

    /** Reports that the request failed; it may have run. */
    void failed(CallerExchange exchange, String reason) {
        respond(exchange, HttpResponseStatus.BAD_GATEWAY, new DefaultHttpHeaders(), reason);
    }

    /** Reports that the deadline has passed; the request may have run. */
    void timedOut(CallerExchange exchange, String reason) {
        respond(exchange, HttpResponseStatus.GATEWAY_TIMEOUT, new DefaultHttpHeaders(), reason);
    }

    /** Reports that the request is invalid. */
    void rejected(CallerExchange exchange, HttpResponseStatus status, String reason) {
        respond(exchange, status, new DefaultHttpHeaders(), reason);
    }

    private void respond(
            CallerExchange exchange,
            HttpResponseStatus status,
            HttpHeaders headers,
            String reason) {
        String header = mState.protocol().headers().requestId();
        String id = exchange.head().headers().get(header, "");
        if (!id.isEmpty()) {
            headers.set(header, id);
        }
        headers.set("Content-Type", "text/plain");
        mState.log()
                .request(
                        LogLine.of("own-answer")
                                .with("request", id)
                                .with("status", status.code())
                                .with("reason", reason)
                                .with("aborted", exchange.responseStarted())
                                .with("millis", mState.nowMillis() - exchange.receivedMillis()));
        if (exchange.responseStarted()) {
            exchange.abort();
        } else {
            exchange.respond(status, headers, (reason + "\n").getBytes(StandardCharsets.UTF_8));
        }
    }
}
