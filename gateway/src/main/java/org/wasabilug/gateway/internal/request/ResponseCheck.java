package org.wasabilug.gateway.internal.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import org.wasabilug.gateway.internal.GatewayState;

/** Checks whether the response of an endpoint may be forwarded to a caller. */
final class ResponseCheck {
    private ResponseCheck() {}

    /**
     * Accepts errors, and successes that carry the endpoint's seal. A content-encoded body is
     * rejected.
     */
    static boolean deliverable(GatewayState state, HttpResponse head) {
        if (head.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
            return false;
        }
        boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
        return !success || head.headers().contains(state.protocol().headers().seal());
    }
}
