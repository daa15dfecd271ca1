package org.wasabilug.gateway.internal.endpoint;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/** How the end of a response body is marked; the names appear in the log. */
public enum ResponseFraming {
    /** The head states the length. */
    LENGTH,
    /** The body ends with a last chunk. */
    CHUNKS,
    /** The body ends when the endpoint closes the connection. */
    CLOSE;

    /**
     * Returns the framing of a response.
     *
     * @param head head of the response
     */
    public static ResponseFraming of(HttpResponse head) {
        if (HttpUtil.isTransferEncodingChunked(head)) {
            return CHUNKS;
        }
        return head.headers().contains(HttpHeaderNames.CONTENT_LENGTH) ? LENGTH : CLOSE;
    }
}
