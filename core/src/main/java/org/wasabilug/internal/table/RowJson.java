package org.wasabilug.internal.table;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.wasabilug.error.Reporter;

/** Converts row values to and from JSON. */
public final class RowJson {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private RowJson() {}

    /** Writes a row value, a record, as JSON. */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException exception) {
            throw Reporter.defect(
                    "failed to write a row value of type "
                            + value.getClass().getSimpleName()
                            + ": "
                            + exception.getMessage());
        }
    }

    /**
     * Reads a row value. Unknown fields, such as those added by a newer version, are ignored.
     *
     * @param text the JSON text
     * @param type class of the record
     * @param <T> type of the record
     * @return the record
     */
    public static <T> T read(String text, Class<T> type) {
        try {
            return MAPPER.readValue(text, type);
        } catch (JsonProcessingException exception) {
            throw Reporter.defect(
                    "failed to read a row value of type "
                            + type.getSimpleName()
                            + ": "
                            + exception.getMessage());
        }
    }
}
