package org.wasabilug.entry.internal.caller;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.pekko.util.ByteString;
import org.wasabilug.entry.internal.http.Json;
import org.wasabilug.entry.internal.http.Responses;
import org.wasabilug.model.Refusal;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;

/** One server-sent event of a streamed answer. */
sealed interface AnswerEvent {
    /**
     * Part of a stage's result.
     *
     * @param stage the stage
     * @param text the part
     */
    record Part(StageName stage, String text) implements AnswerEvent {}

    /**
     * The answer is whole.
     *
     * @param request the request
     */
    record Done(RequestId request) implements AnswerEvent {}

    /**
     * The answer ends without being whole.
     *
     * @param refusal why
     */
    record Failed(Refusal refusal) implements AnswerEvent {}

    /**
     * Characters that this event adds to what waits for the caller.
     *
     * @return the count
     */
    default int characters() {
        return this instanceof Part part ? part.text().length() : 0;
    }

    /**
     * This event as bytes.
     *
     * @return name and data lines, and an empty line
     */
    default ByteString encoded() {
        return switch (this) {
            case Part part ->
                    encoded(
                            "stage",
                            Json.object()
                                    .put("stage", part.stage().value())
                                    .put("text", part.text()));
            case Done done -> encoded("done", Json.object().put("request", done.request().value()));
            case Failed failed -> encoded("error", Responses.problemBody(failed.refusal()));
        };
    }

    private static ByteString encoded(String name, JsonNode data) {
        return ByteString.fromString("event: " + name + "\ndata: " + Json.write(data) + "\n\n");
    }
}
