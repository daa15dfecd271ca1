package org.wasabilug.internal.table;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.wasabilug.error.Reporter;

/** Writes and reads row values as JSON. */
public final class RowJson {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private RowJson() {}

    /**
     * Writes a row value.
     *
     * @param value a record
     * @return its JSON text
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException exception) {
            throw Reporter.defect("a row value can't be written: " + exception.getMessage());
        }
    }

    /**
     * Reads a row value; fields that a newer version added are skipped.
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
            throw Reporter.defect("a row value can't be read: " + exception.getMessage());
        }
    }
}
