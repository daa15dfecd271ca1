package org.wasabilug.gateway.internal.endpoint;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wasabilug.gateway.internal.endpoint.ResponseFraming.CHUNKS;
import static org.wasabilug.gateway.internal.endpoint.ResponseFraming.CLOSE;
import static org.wasabilug.gateway.internal.endpoint.ResponseFraming.LENGTH;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wasabilug.gateway.internal.endpoint.JoinedContent.Finding;

/**
 * Content with and without another response in it; ; stands for the end of a line. The connection
 * carried the request with the id 1.
 */
class JoinedContentTest {
    private static ByteBuf bytes(String content) {
        return Unpooled.wrappedBuffer(
                content.replace(";", "\r\n").getBytes(StandardCharsets.UTF_8));
    }

    private static JoinedContent content(ResponseFraming framing) {
        return new JoinedContent(framing, "X-Id", "1"::equals);
    }

    private static Finding whole(ResponseFraming framing, String content) {
        return content(framing).inWhole(bytes(content));
    }

    private static Finding part(ResponseFraming framing, String content) {
        return content(framing).inPart(bytes(content));
    }

    /** Guards against a success that ends in another answer. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "bodyHTTP/1.1 500 Status;X-Id: 1;;body",
                "HTTP/1.1 500 ;Seal: s;x-id: 1;;",
                "HTTP/1.1 HTTP/1.1 500 Status;X-Id: 1;;",
                "HTTP/1.1 200 OK;;HTTP/1.1 500 Status;X-Id: 1;;",
                "bodyHTTP/1.1 500 Status;",
                "bodyHTTP/1.1 500 Status;Seal: s;X-I",
                "bodyHTTP/1.1 500 Status;Seal: s;X-Id: ",
                "bodyHTTP/1.1 103 Hints;Link: a;;HTTP/1.1 500 Status;X-Id: 1;;",
                "bodyHTTP/1.1 103 Hints;Link: a;;HTTP/1.1 103 Hints;;HTTP/1.1 50",
                "bodyHTTP/1.1 103 Hints;Link: a;;HTT",
                "bodyHTTP/1.1 103 Hints;Link: a;;",
                "bodyHTTP/1.1 103 Hints;HTTP/1.1 500 Status;X-Id: 1;;"
            })
    void contentThatGoesOnWithAResponseThatIsDueIsFoundWithoutALength(String content) {
        assertThat(whole(CLOSE, content)).isEqualTo(Finding.JOINED);
        assertThat(whole(LENGTH, content)).isNotEqualTo(Finding.SINGLE);
        assertThat(part(CLOSE, content)).isNotEqualTo(Finding.SINGLE);
        assertThat(part(LENGTH, content)).isNotEqualTo(Finding.SINGLE);
        assertThat(part(CHUNKS, content)).isNotEqualTo(Finding.SINGLE);
    }

    /** Guards against a sound answer that is refused for what it quotes. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 500 Status",
                "GET / HTTP/1.1;X-Id: 1;;",
                "HTTP/1.1 200 OK;Server: a;;X-Id: 1",
                "HTTP/1.1 200 OK;is what it said;X-Id: 1;;",
                "data: {'status': 'HTTP/1.1 200 OK'};data: X-Id: 1;;",
                "data: HTTP/1.1 100 Continue;\n",
                "data: HTTP/1.1 100 Continue;\nid: 6\ndata: X-Id: 1;\n",
                "data: HTTP/1.1 103 Hints;Link: a;;id: 6\ndata: a;;",
                "data: HTTP/1.1 200 OK;X-Id: 2;;body",
                "HTTP/1.1 100 Continue;;HTTP/1.1 200 OK;X-Id: 2;;body",
                "HTTP/1.1 100 Continue;;HTTP/1.1 200 OK;Server: a;;X-Id: 1",
                "HTTP/1.1 100 Continue;;HTTP/2 or later"
            })
    void contentThatQuotesAStatusLineIsSound(String content) {
        for (ResponseFraming framing : ResponseFraming.values()) {
            assertThat(whole(framing, content)).isEqualTo(Finding.SINGLE);
            assertThat(part(framing, content)).isEqualTo(Finding.SINGLE);
        }
    }

    /** Guards against a sound answer that is refused though its last chunk proves that it is. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "bodyHTTP/1.1 500 Status;X-Id: 1;;body",
                "data: HTTP/1.1 500 Status;X-Id: 1;\n",
                "bodyHTTP/1.1 500 Status;X-Id: 1;Transfer-Encoding: chunked;;it said",
                "bodyHTTP/1.1 103 Hints;Link: a;;HTTP/1.1 500 Status;X-Id: 1;;",
                "bodyHTTP/1.1 103 Hints;Link: a;;",
                "bodyHTTP/1.1 500 Status;"
            })
    void chunksThatAreWellFormedToTheLastMayQuoteAResponseThatIsDue(String content) {
        assertThat(part(CHUNKS, content)).isEqualTo(Finding.UNDECIDED);
        assertThat(whole(CHUNKS, content)).isEqualTo(Finding.SINGLE);
    }

    /** Guards against chunks that end where the next size of another response's chunks stands. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "bodyHTTP/1.1 200 OK;X-Id: 1;Transfer-Encoding: chunked;body",
                "bodyHTTP/1.1 200 OK;X-Id: 1;Transfer-Encoding: chunked;",
                "bodyHTTP/1.1 200 OK;X-Id: 1;Transfer-Encoding: chunked;;4;body4;body"
            })
    void chunksThatFitThoseOfAResponseThatIsDueAreJoined(String content) {
        assertThat(whole(CHUNKS, content)).isEqualTo(Finding.JOINED);
    }

    /** Guards against an interim response that is passed on before the final one has come. */
    @ParameterizedTest
    @EnumSource(ResponseFraming.class)
    void onlyWhatFollowsTellsWhetherAnInterimHeadIsQuoted(ResponseFraming framing) {
        String interim = "data: HTTP/1.1 103 Hints;Link: a;;";
        assertThat(part(framing, interim)).isEqualTo(Finding.UNDECIDED);
        assertThat(part(framing, interim + "id: 6\ndata: a;;")).isEqualTo(Finding.SINGLE);
    }
}
