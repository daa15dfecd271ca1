package org.wasabilug.gateway.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
    private final EventSplitter mSplitter = new EventSplitter("");

    private String append(String text) {
        ByteBuf events = mSplitter.append(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        return events.toString(StandardCharsets.UTF_8);
    }

    @Test
    void onlyCompleteEventsAreReturned() {
        assertThat(append("id: 1\nda")).isEmpty();
        assertThat(append("ta: a\n\nid: 2\n")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(mSplitter.lastEventId()).isEqualTo("1");
        assertThat(append("data: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(mSplitter.lastEventId()).isEqualTo("2");
    }

    @Test
    void noByteChangesHoweverTheStreamIsSplit() {
        String stream = "id:1\r\ndata: a\r\n\r\nid: 2\ndata: x\ndata: y\n\n: comment\n\n";
        StringBuilder output = new StringBuilder();
        for (int index = 0; index < stream.length(); index++) {
            output.append(append(stream.substring(index, index + 1)));
        }

        assertThat(output.toString()).isEqualTo(stream);
        assertThat(mSplitter.lastEventId()).isEqualTo("2");
    }

    @Test
    void aPartialEventIsDiscardedBeforeTheStreamResumesElsewhere() {
        append("id: 1\ndata: a\n\nid: 2\nda");
        mSplitter.discardPartial();

        assertThat(append("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(mSplitter.lastEventId()).isEqualTo("2");
    }

    @Test
    void bytesAfterTheLastCompleteEventArePartial() {
        append("id: 1\ndata: a\n\n");
        assertThat(mSplitter.partialBytes()).isZero();

        append("tail");
        assertThat(mSplitter.partialBytes()).isEqualTo("tail".length());

        mSplitter.discardPartial();
        assertThat(mSplitter.partialBytes()).isZero();
    }

    /** Guards against events that come twice after a resumption. */
    @Test
    void noEventIsReturnedFromTheFirstIdOnThatIsNotGreater() {
        EventSplitter splitter = new EventSplitter("2");
        String stream = "id: 3\ndata: c\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n";

        ByteBuf events = splitter.append(Unpooled.copiedBuffer(stream, StandardCharsets.UTF_8));

        assertThat(events.toString(StandardCharsets.UTF_8)).isEqualTo("id: 3\ndata: c\n\n");
        assertThat(splitter.inOrder()).isFalse();
        assertThat(splitter.firstEventId()).isEqualTo("3");
    }
}
