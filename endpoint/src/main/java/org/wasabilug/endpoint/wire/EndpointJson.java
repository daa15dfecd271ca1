package org.wasabilug.endpoint.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;
import org.wasabilug.error.Reporter;

/** JSON mapper for the messages between instances and endpoints. */
public final class EndpointJson {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                    .build();

    private EndpointJson() {}

    /**
     * Serializes a message.
     *
     * @param message a record
     * @return JSON text
     */
    public static String write(Object message) {
        try {
            return MAPPER.writeValueAsString(message);
        } catch (JsonProcessingException exception) {
            throw Reporter.defect("message can't be serialized as JSON: " + exception.getMessage());
        }
    }

    /**
     * Parses a message.
     *
     * @param <T> type of the message
     * @param json JSON text
     * @param type type of the message
     * @return the message; empty if the text is not a valid message
     */
    public static <T> Optional<T> read(String json, Class<T> type) {
        try {
            return Optional.ofNullable(MAPPER.readValue(json, type));
        } catch (JsonProcessingException exception) {
            return Optional.empty();
        }
    }
}
