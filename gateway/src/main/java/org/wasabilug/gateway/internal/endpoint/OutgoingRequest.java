package org.wasabilug.gateway.internal.endpoint;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request to an endpoint.
 *
 * @param id request id that the answer must repeat; empty where it need not
 * @param method method
 * @param target path and query
 * @param headers headers, without those of a single connection
 * @param body body; empty where there is none
 * @param repeatable true where a broken connection does no harm
 */
public record OutgoingRequest(
        String id,
        HttpMethod method,
        String target,
        HttpHeaders headers,
        byte[] body,
        boolean repeatable) {}
