package org.wasabilug.gateway.internal.endpoint;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request to an endpoint.
 *
 * @param id request id that the response must repeat; empty if the response must have none
 * @param method HTTP method
 * @param target path and query
 * @param headers headers, without hop-by-hop headers
 * @param body body; empty if there is none
 * @param repeatable true if the request may be sent on a connection that could already be broken
 */
public record OutgoingRequest(
        String id,
        HttpMethod method,
        String target,
        HttpHeaders headers,
        byte[] body,
        boolean repeatable) {}
