package org.wasabilug.endpoint.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.IOException;
import java.util.Optional;

/** Serializes and parses the events of a streamed answer without building a JSON tree. */
public final class StreamEventJson {
    private static final JsonFactory FACTORY = new JsonFactory();
    private static final int CHUNK_OVERHEAD_CHARACTERS = 64;

    private StreamEventJson() {}

    /**
     * Serializes an event.
     *
     * @param event event to write
     * @return JSON text
     */
    public static String write(StreamEvent event) {
        return switch (event) {
            case StreamEvent.Chunk chunk -> writeChunk(chunk);
            case StreamEvent.Done done -> "{\"done\":true,\"length\":" + done.length() + "}";
        };
    }

    /**
     * Parses an event.
     *
     * @param json data of the event, in UTF-8
     * @return the event; empty if the data is not a valid event
     */
    public static Optional<StreamEvent> read(byte[] json) {
        try (JsonParser parser = FACTORY.createParser(json)) {
            return parser.nextToken() == JsonToken.START_OBJECT
                    ? new Fields().read(parser).toEvent()
                    : Optional.empty();
        } catch (IOException exception) {
            return Optional.empty();
        }
    }

    private static String writeChunk(StreamEvent.Chunk chunk) {
        StringBuilder json =
                new StringBuilder(chunk.text().length() + CHUNK_OVERHEAD_CHARACTERS)
                        .append("{\"offset\":")
                        .append(chunk.offset())
                        .append(",\"text\":\"");
        JsonStringEncoder.getInstance().quoteAsString(chunk.text(), json);
        return json.append("\"}").toString();
    }

    private static final class Fields {
        private int mOffset = -1;
        private int mLength = -1;
        private boolean mDone;
        private String mText;

        private Fields read(JsonParser parser) throws IOException {
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                switch (name) {
                    case "offset" -> mOffset = parser.getIntValue();
                    case "length" -> mLength = parser.getIntValue();
                    case "done" -> mDone = parser.getBooleanValue();
                    case "text" -> mText = parser.getText();
                    default -> parser.skipChildren();
                }
            }
            return this;
        }

        private Optional<StreamEvent> toEvent() {
            if (mDone && mLength >= 0) {
                return Optional.of(new StreamEvent.Done(mLength));
            }
            return mText != null && mOffset >= 0
                    ? Optional.of(new StreamEvent.Chunk(mOffset, mText))
                    : Optional.empty();
        }
    }
}
