package org.wasabilug.gateway.internal.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Content with and without another response in it; ; stands for the end of a line. */
class JoinedHeadsTest {
    private static boolean joined(String content) {
        byte[] bytes = content.replace(";", "\r\n").getBytes(StandardCharsets.UTF_8);
        ByteBuf buffer = Unpooled.wrappedBuffer(bytes);
        return JoinedHeads.in(buffer, "X-Id");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "bodyHTTP/1.1 500 Status;X-Id: 1;;body",
                "HTTP/1.1 500 ;Seal: s;x-id: 1;;",
                "HTTP/1.1 HTTP/1.1 500 Status;X-Id: 1;;",
                "HTTP/1.1 200 OK;;HTTP/1.1 500 Status;X-Id: 1;;",
                "bodyHTTP/1.1 500 Status;",
                "bodyHTTP/1.1 500 Status;Seal: s;X-I"
            })
    void aHeadWithARequestIdInContentIsFound(String content) {
        assertThat(joined(content)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 500 Status",
                "GET / HTTP/1.1;X-Id: 1;;",
                "HTTP/1.1 200 OK;Server: a;;X-Id: 1",
                "HTTP/1.1 200 OK;is what it said;X-Id: 1;;",
                "data: {'status': 'HTTP/1.1 200 OK'};data: X-Id: 1;;"
            })
    void contentThatQuotesAStatusLineIsSound(String content) {
        assertThat(joined(content)).isFalse();
    }
}
