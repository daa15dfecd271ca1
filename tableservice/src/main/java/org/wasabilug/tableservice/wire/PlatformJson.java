package org.wasabilug.tableservice.wire;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;
import org.wasabilug.error.Reporter;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.RowCondition;
import org.wasabilug.port.RowWrite;
import org.wasabilug.port.TableRead;

/** JSON mapper for the messages between instances and the platform's services. */
public final class PlatformJson {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .addMixIn(RowCondition.class, RowConditionForm.class)
                    .addMixIn(RowWrite.class, RowWriteForm.class)
                    .addMixIn(TableRead.class, TableReadForm.class)
                    .addMixIn(CommitOutcome.class, CommitOutcomeForm.class)
                    .addMixIn(FailureDomainName.class, FailureDomainNameForm.class)
                    .build();

    private PlatformJson() {}

    /**
     * Serializes a message.
     *
     * @param message a record of the port package
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

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = RowCondition.Absent.class, name = "absent"),
        @JsonSubTypes.Type(value = RowCondition.VersionIs.class, name = "version")
    })
    private interface RowConditionForm {}

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = RowWrite.Put.class, name = "put"),
        @JsonSubTypes.Type(value = RowWrite.Delete.class, name = "delete")
    })
    private interface RowWriteForm {}

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = TableRead.Points.class, name = "points"),
        @JsonSubTypes.Type(value = TableRead.Range.class, name = "range")
    })
    private interface TableReadForm {}

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = CommitOutcome.Committed.class, name = "committed"),
        @JsonSubTypes.Type(value = CommitOutcome.Rejected.class, name = "rejected")
    })
    private interface CommitOutcomeForm {}

    private abstract static class FailureDomainNameForm {
        @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
        FailureDomainNameForm(String value) {}

        @JsonValue
        abstract String value();
    }
}
