package org.wasabilug.entry.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.wasabilug.error.Reporter;

/** The JSON mapper of both interfaces. */
public final class Json {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private Json() {}

    /**
     * A new, empty object.
     *
     * @return the object
     */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Reads JSON.
     *
     * @param text the text
     * @return the tree; empty where the text is no JSON or names a field twice
     */
    public static Optional<JsonNode> read(String text) {
        try {
            return Optional.of(MAPPER.readTree(text)).filter(node -> !node.isMissingNode());
        } catch (JsonProcessingException exception) {
            return Optional.empty();
        }
    }

    /**
     * Writes JSON on one line.
     *
     * @param tree the tree
     * @return the text
     */
    public static String write(JsonNode tree) {
        try {
            return MAPPER.writeValueAsString(tree);
        } catch (JsonProcessingException exception) {
            throw Reporter.defect("a JSON tree could not be written");
        }
    }

    /**
     * Turns a record or map into a tree.
     *
     * @param value the value
     * @return the tree
     */
    public static JsonNode tree(Object value) {
        return MAPPER.valueToTree(value);
    }
}
