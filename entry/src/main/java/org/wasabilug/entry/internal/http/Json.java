package org.wasabilug.entry.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.wasabilug.error.Reporter;

/** JSON mapper of both HTTP interfaces. */
public final class Json {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private Json() {}

    /** Returns a new, empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Parses JSON.
     *
     * @param text text to parse
     * @return the tree; empty if the text is not valid JSON or repeats a field
     */
    public static Optional<JsonNode> read(String text) {
        try {
            return Optional.of(MAPPER.readTree(text)).filter(node -> !node.isMissingNode());
        } catch (JsonProcessingException exception) {
            return Optional.empty();
        }
    }

    /** Writes JSON on one line. */
    public static String write(JsonNode tree) {
        try {
            return MAPPER.writeValueAsString(tree);
        } catch (JsonProcessingException exception) {
            throw Reporter.defect("JSON tree could not be serialized");
        }
    }

    /** Converts a record or map into a tree. */
    public static JsonNode tree(Object value) {
        return MAPPER.valueToTree(value);
    }
}
