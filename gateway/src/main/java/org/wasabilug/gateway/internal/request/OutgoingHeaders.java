package org.wasabilug.gateway.internal.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.protocol.HeaderNames;
import org.wasabilug.internal.serving.EndpointState;

/** Builds the headers of requests to endpoints and of responses to callers. */
final class OutgoingHeaders {
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "http2-settings",
                    "expect",
                    "content-length");
    private static final int LOWEST_PRIORITY = 9;

    private final GatewayState mState;

    OutgoingHeaders(GatewayState state) {
        mState = state;
    }

    /** Copies the headers that an endpoint may see and sets those that the gateway controls. */
    HttpHeaders toEndpoint(RequestContext request, EndpointState endpoint) {
        HeaderNames names = mState.protocol().headers();
        HttpHeaders headers = withoutHopByHopHeaders(request.exchange().head().headers());
        names.reserved().forEach(headers::remove);
        if (mState.routes().map(routes -> routes.configuration().authenticated()).orElse(true)) {
            headers.remove(names.authorization());
        }
        headers.set(names.deadline(), request.deadline().millisForEndpoint());
        headers.set(names.expectedEndpoint(), endpoint.registration().name());
        request.workspace().ifPresent(workspace -> headers.set(names.workspace(), workspace));
        if (request.service().engine().isPresent()) {
            headers.set(names.priority(), Math.min(LOWEST_PRIORITY, Math.max(0, request.rank())));
        }
        return headers;
    }

    /** Copies the headers that a caller may see. */
    static HttpHeaders toCaller(HttpHeaders received) {
        return withoutHopByHopHeaders(received);
    }

    private static HttpHeaders withoutHopByHopHeaders(HttpHeaders received) {
        Set<String> named = new TreeSet<>();
        for (String value : received.getAll("Connection")) {
            for (String name : value.split(",")) {
                named.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        HttpHeaders headers = new DefaultHttpHeaders();
        for (Map.Entry<String, String> header : received) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !named.contains(name)) {
                headers.add(header.getKey(), header.getValue());
            }
        }
        return headers;
    }
}
