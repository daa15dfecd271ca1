package org.wasabilug.gateway.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
    private final EventSplitter mSplitter = new EventSplitter();

    private String take(String text) {
        ByteBuf events = mSplitter.append(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        return events.toString(StandardCharsets.UTF_8);
    }

    @Test
    void onlyWholeEventsComeOut() {
        assertThat(take("id: 1\nda")).isEmpty();
        assertThat(take("ta: a\n\nid: 2\n")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(mSplitter.lastEventId()).isEqualTo("1");
        assertThat(take("data: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(mSplitter.lastEventId()).isEqualTo("2");
    }

    @Test
    void noByteChangesWhateverTheCuts() {
        String stream = "id:1\r\ndata: a\r\n\r\nid: 2\ndata: x\ndata: y\n\n: comment\n\n";
        StringBuilder out = new StringBuilder();
        for (int index = 0; index < stream.length(); index++) {
            out.append(take(stream.substring(index, index + 1)));
        }

        assertThat(out.toString()).isEqualTo(stream);
        assertThat(mSplitter.lastEventId()).isEqualTo("2");
    }

    @Test
    void aPartOfAnEventIsDroppedBeforeTheStreamGoesOnElsewhere() {
        take("id: 1\ndata: a\n\nid: 2\nda");
        mSplitter.discardPartial();

        assertThat(take("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(mSplitter.lastEventId()).isEqualTo("2");
    }

    @Test
    void theRestIsGivenBackAtTheEnd() {
        take("id: 1\ndata: a\n\ntail");

        assertThat(mSplitter.remainder().toString(StandardCharsets.UTF_8)).isEqualTo("tail");
    }
}
