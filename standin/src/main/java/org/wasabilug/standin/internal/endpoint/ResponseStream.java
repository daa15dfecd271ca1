package org.wasabilug.standin.internal.endpoint;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.wasabilug.endpoint.wire.EndpointJson;
import org.wasabilug.endpoint.wire.StreamEvent;
import org.wasabilug.endpoint.wire.StreamEventJson;
import org.wasabilug.endpoint.wire.WholeAnswer;
import org.wasabilug.standin.EndpointFaults;
import org.wasabilug.standin.internal.http.ConnectionBrokenException;

/** Produces the bytes of an answer at the pace of an engine, altered by the faults. */
final class ResponseStream {
    /**
     * Interval of writes while there is no other output, so that a closed connection is noticed.
     */
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(100);

    private static final ByteString STREAM_HEARTBEAT = ByteString.fromString(":\n\n");
    private static final ByteString JSON_HEARTBEAT = ByteString.fromString(" ");

    private final long mFirstTokenNanos;
    private final long mTokenNanos;
    private final EndpointFaults mFaults;

    ResponseStream(EndpointSettings settings, double paceFactor, EndpointFaults faults) {
        mFirstTokenNanos = Math.round(settings.firstTokenNanos() * paceFactor);
        mTokenNanos = Math.round(settings.tokenNanos() * paceFactor);
        mFaults = faults;
    }

    Source<ByteString, NotUsed> streamed(String text, int offset) {
        List<StreamEvent> events = new ArrayList<>(chunks(text, offset));
        if (mFaults.reorderedChunks()) {
            swapNeighbours(events);
        }
        if (mFaults.doubledChunks()) {
            events = doubled(events);
        }
        boolean cut = mFaults.cutAfterChunks() > 0 && events.size() >= mFaults.cutAfterChunks();
        if (cut) {
            events = events.subList(0, mFaults.cutAfterChunks());
        }
        Source<ByteString, NotUsed> chunks =
                paced(Source.from(events)).map(ResponseStream::encoded);
        Source<ByteString, NotUsed> last =
                cut
                        ? brokenConnection()
                        : Source.single(encoded(new StreamEvent.Done(text.length())));
        return delayedToFirstToken(chunks.concatLazy(last))
                .keepAlive(HEARTBEAT_INTERVAL, () -> STREAM_HEARTBEAT);
    }

    /**
     * Fails only on demand: a source that fails at once would overtake the chunks sent before it.
     */
    private static Source<ByteString, NotUsed> brokenConnection() {
        return Source.<ByteString, NotUsed>lazySource(
                        () -> Source.failed(new ConnectionBrokenException()))
                .mapMaterializedValue(value -> NotUsed.getInstance());
    }

    Source<ByteString, NotUsed> whole(String text) {
        ByteString body = ByteString.fromString(EndpointJson.write(new WholeAnswer(text)));
        Source<ByteString, NotUsed> answer =
                mFaults.cutAfterChunks() > 0
                        ? Source.failed(new ConnectionBrokenException())
                        : Source.single(body);
        return delayedToFirstToken(answer).keepAlive(HEARTBEAT_INTERVAL, () -> JSON_HEARTBEAT);
    }

    /** Sends heartbeats forever and never a result. */
    static Source<ByteString, NotUsed> heartbeatsOnly() {
        return Source.<ByteString>never().keepAlive(HEARTBEAT_INTERVAL, () -> STREAM_HEARTBEAT);
    }

    private static List<StreamEvent> chunks(String text, int offset) {
        List<StreamEvent> chunks = new ArrayList<>();
        int start = Math.min(offset, text.length());
        while (start < text.length()) {
            int blank = text.indexOf(' ', start + 1);
            int end = blank < 0 ? text.length() : blank;
            chunks.add(new StreamEvent.Chunk(start, text.substring(start, end)));
            start = end;
        }
        return chunks;
    }

    private static void swapNeighbours(List<StreamEvent> events) {
        for (int index = 0; index + 1 < events.size(); index += 2) {
            Collections.swap(events, index, index + 1);
        }
    }

    private static List<StreamEvent> doubled(List<StreamEvent> events) {
        List<StreamEvent> doubled = new ArrayList<>(events.size() * 2);
        for (StreamEvent event : events) {
            doubled.add(event);
            doubled.add(event);
        }
        return doubled;
    }

    private <T> Source<T, NotUsed> paced(Source<T, NotUsed> events) {
        return mTokenNanos > 0 ? events.throttle(1, Duration.ofNanos(mTokenNanos)) : events;
    }

    private <T> Source<T, NotUsed> delayedToFirstToken(Source<T, NotUsed> answer) {
        return mFirstTokenNanos > 0
                ? answer.initialDelay(Duration.ofNanos(mFirstTokenNanos))
                : answer;
    }

    private static ByteString encoded(StreamEvent event) {
        return ByteString.fromString("data:" + StreamEventJson.write(event) + "\n\n");
    }
}
