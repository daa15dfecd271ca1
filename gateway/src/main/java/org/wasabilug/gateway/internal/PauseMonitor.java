package org.wasabilug.gateway.internal;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.OptionalLong;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.EndpointPause;
import org.wasabilug.internal.serving.EndpointState;

/** Recognizes in the answers of endpoints which of them want nothing for a while. */
final class PauseMonitor {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final GatewayState mState;

    PauseMonitor(GatewayState state) {
        mState = state;
    }

    /**
     * Records the head of an endpoint's answer.
     *
     * @param endpoint the endpoint
     * @param head the head
     */
    void recordResponse(EndpointState endpoint, HttpResponse head) {
        long now = mState.nowMillis();
        if (!head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            if (!mState.notExecuted(head)) {
                endpoint.pause().recordTaken(now);
            }
            return;
        }
        String value = head.headers().get(HttpHeaderNames.RETRY_AFTER);
        if (value != null) {
            OptionalLong millis = parseMillis(value);
            millis.ifPresent(pause -> endpoint.pause().begin(pause, now));
            log(endpoint, value, millis.isPresent());
        }
    }

    /**
     * Parses a number of seconds, which may have a fraction.
     *
     * @return milliseconds, at most {@link EndpointPause#MAX_MILLIS}; empty for anything else, as a
     *     date would depend on the endpoint's clock
     */
    static OptionalLong parseMillis(String value) {
        try {
            double millis = Double.parseDouble(value.trim()) * MILLIS_PER_SECOND;
            return millis >= 0
                    ? OptionalLong.of((long) Math.ceil(Math.min(millis, EndpointPause.MAX_MILLIS)))
                    : OptionalLong.empty();
        } catch (NumberFormatException otherForm) {
            return OptionalLong.empty();
        }
    }

    private void log(EndpointState endpoint, String value, boolean heeded) {
        mState.log()
                .request(
                        LogLine.of(heeded ? "endpoint-paused" : "pause-unreadable")
                                .with("endpoint", endpoint.registration().name())
                                .with("service", endpoint.registration().service())
                                .with("asked", value)
                                .with(
                                        "millis",
                                        endpoint.pause().remainingMillis(mState.nowMillis())));
    }
}
