package org.wasabilug.gateway.internal.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * Decodes the responses on one connection to an endpoint, which may be more than there are calls.
 */
final class EndpointResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEAD_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final int MAX_BYTES_BEHIND = 256;

    /** Three digits in one of the five classes; the codec takes any number, also a signed one. */
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

    private final Predicate<HttpResponse> mToHead;

    /**
     * Creates the decoder of a new connection.
     *
     * @param toHead whether a response is one to a HEAD request
     */
    EndpointResponseDecoder(Predicate<HttpResponse> toHead) {
        super(MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES);
        mToHead = toHead;
    }

    /** Returns whether bytes were received that belong to nothing decoded so far. */
    boolean holdsBytes() {
        return actualReadableBytes() > 0;
    }

    /** Returns the first of these bytes, as text of one character a byte. */
    String bytesBehind() {
        ByteBuf behind = internalBuffer();
        int length = Math.min(behind.readableBytes(), MAX_BYTES_BEHIND);
        return behind.toString(behind.readerIndex(), length, StandardCharsets.ISO_8859_1);
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        if (!STATUS.matcher(statusLine[1]).matches()) {
            throw new IllegalArgumentException("No status: '" + statusLine[1] + "'");
        }
        return super.createMessage(statusLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return super.isContentAlwaysEmpty(message) || mToHead.test((HttpResponse) message);
    }
}
