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
     * @param stage stage that produced the part
     * @param text the part
     */
    record Part(StageName stage, String text) implements AnswerEvent {}

    /**
     * The answer is complete.
     *
     * @param request id of the request
     */
    record Done(RequestId request) implements AnswerEvent {}

    /**
     * The answer ends incomplete.
     *
     * @param refusal the reason
     */
    record Failed(Refusal refusal) implements AnswerEvent {}

    /** Returns how many characters this event adds to the text queued for the caller. */
    default int characters() {
        return this instanceof Part part ? part.text().length() : 0;
    }

    /**
     * Returns this event in the server-sent events format: an event line, a data line and an empty
     * line.
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
