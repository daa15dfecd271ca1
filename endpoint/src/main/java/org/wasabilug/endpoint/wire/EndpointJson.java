package org.wasabilug.endpoint.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;
import org.wasabilug.error.Reporter;

/** Turns requests to endpoints and their answers into JSON and back. */
public final class EndpointJson {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                    .build();

    private EndpointJson() {}

    /**
     * Writes a message.
     *
     * @param message a record
     * @return its JSON
     */
    public static String write(Object message) {
        try {
            return MAPPER.writeValueAsString(message);
        } catch (JsonProcessingException exception) {
            throw Reporter.defect("a message has no JSON form: " + exception.getMessage());
        }
    }

    /**
     * Reads a message.
     *
     * @param <T> type of the message
     * @param json text of the message
     * @param type type of the message
     * @return the message; empty where the text is not one
     */
    public static <T> Optional<T> read(String json, Class<T> type) {
        try {
            return Optional.ofNullable(MAPPER.readValue(json, type));
        } catch (JsonProcessingException exception) {
            return Optional.empty();
        }
    }
}
