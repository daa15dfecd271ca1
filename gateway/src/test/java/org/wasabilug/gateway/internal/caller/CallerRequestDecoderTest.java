package org.wasabilug.gateway.internal.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.gateway.internal.limit.MemoryBudget;
import org.wasabilug.serving.CallerLimits;

/** Limits change while requests arrive on a connection. */
class CallerRequestDecoderTest {
    private static final int MAX_FIELDS = 100;
    private static final MemoryBudget UNLIMITED = new MemoryBudget(Long.MAX_VALUE, () -> 0);
    private static final int SHORT_BYTES = 100;
    private static final int LONG_BYTES = 1_000;
    private static final String LONG_HEADER = "X-Long: " + "x".repeat(500) + "\r\n\r\n";

    private final Queue<HttpMethod> mMethods = new ArrayDeque<>();
    private int mHeaderBytes = SHORT_BYTES;
    private final CallerInput mInput = new CallerInput(MAX_FIELDS, UNLIMITED.open(null), () -> 0);
    private final EmbeddedChannel mChannel =
            new EmbeddedChannel(
                    new CallerRequestDecoder(
                            () -> new CallerLimits(mHeaderBytes, 1_000, 1_000, 1_000),
                            mMethods,
                            mInput),
                    new CallerResponseEncoder(mMethods));

    @AfterEach
    void close() {
        mChannel.finishAndReleaseAll();
    }

    @Test
    void aHeadWhoseFirstLineHadArrivedInPartHasTheRaisedLimit() {
        receive("GET /1 HTTP/1.1\r\n\r\n\r\nGET /2");
        mHeaderBytes = LONG_BYTES;
        receive(" HTTP/1.1\r\n" + LONG_HEADER + "GET /3 HTTP/1.1\r\n\r\n");

        assertThat(wholeHeads()).containsExactly("/1", "/2", "/3");
    }

    @Test
    void aHeadWhoseFirstLineHadArrivedKeepsItsLimitAndTheNextOneHasTheLoweredLimit() {
        mHeaderBytes = LONG_BYTES;
        receive("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n");
        mHeaderBytes = SHORT_BYTES;
        receive(LONG_HEADER + "GET /3 HTTP/1.1\r\n" + LONG_HEADER);

        assertThat(wholeHeads()).containsExactly("/1", "/2");
    }

    @Test
    void nothingAfterARefusedHeadIsARequestAlthoughTheLimitIsRaised() {
        receive("GET /1 HTTP/1.1\r\n" + LONG_HEADER);
        mHeaderBytes = LONG_BYTES;
        receive("GET /2 HTTP/1.1\r\n\r\n");

        assertThat(wholeHeads()).isEmpty();
    }

    @Test
    void theBodyOfARequestGoesOnAlthoughTheLimitIsLowered() {
        mHeaderBytes = LONG_BYTES;
        receive("POST /1 HTTP/1.1\r\nContent-Length: 600\r\n\r\n");
        mHeaderBytes = SHORT_BYTES;
        receive("x".repeat(600) + "GET /2 HTTP/1.1\r\n\r\n");

        assertThat(wholeHeads()).containsExactly("/1", "/2");
    }

    @Test
    void aResponseToHeadHasNoBodyAlthoughTheLimitChangedWhileItWaited() {
        receive("HEAD /1 HTTP/1.1\r\n\r\n");
        mHeaderBytes = LONG_BYTES;
        receive("GET /2 HTTP/1.1\r\n\r\n");
        mChannel.writeOutbound(response("one"), response("two"));

        assertThat(written()).doesNotContain("one").endsWith("two");
    }

    /** Guards against half a head without a time limit, or whose buffer is not counted. */
    @Test
    void halfAHeadCountsAlthoughTheLimitChangedBeforeIt() {
        mHeaderBytes = LONG_BYTES;
        receive("GET /1");

        assertThat(mInput.partial()).isTrue();
        assertThat(mInput.pendingBytes()).isPositive();
    }

    private void receive(String text) {
        mChannel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private List<String> wholeHeads() {
        return mChannel.inboundMessages().stream()
                .filter(HttpRequest.class::isInstance)
                .map(HttpRequest.class::cast)
                .filter(request -> request.decoderResult().isSuccess())
                .map(HttpRequest::uri)
                .toList();
    }

    private static DefaultFullHttpResponse response(String body) {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.OK,
                Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
    }

    private String written() {
        List<String> parts = new ArrayList<>();
        for (ByteBuf part = mChannel.readOutbound(); part != null; part = mChannel.readOutbound()) {
            parts.add(part.toString(StandardCharsets.US_ASCII));
            part.release();
        }
        return String.join("", parts);
    }
}
