package org.wasabilug.gateway.internal.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import org.wasabilug.gateway.internal.GatewayState;

/** Tells whether an answer may be handed to a caller. */
final class ResponseCheck {
    private ResponseCheck() {}

    /** Accepts failures, and successes that bear the endpoint's seal and an unencoded body. */
    static boolean deliverable(GatewayState state, HttpResponse head) {
        if (head.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
            return false;
        }
        boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
        return !success || head.headers().contains(state.protocol().headers().seal());
    }
}
