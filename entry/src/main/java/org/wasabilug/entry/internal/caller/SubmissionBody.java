package org.wasabilug.entry.internal.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.wasabilug.model.Finding;

/**
 * Body of a submitted request.
 *
 * @param input input of the pipeline
 * @param deadlineMilliseconds time for the whole answer; empty for the pipeline's deadline
 * @param streamed true to receive the answer as a stream of events
 */
record SubmissionBody(String input, Optional<Long> deadlineMilliseconds, boolean streamed) {

    /** Result of parsing a body. */
    sealed interface Outcome {}

    /**
     * The body is valid.
     *
     * @param body the parsed body
     */
    record Parsed(SubmissionBody body) implements Outcome {}

    /**
     * The body is invalid.
     *
     * @param findings every error, with its location
     */
    record Rejected(List<Finding> findings) implements Outcome {}

    static SubmissionBody of(JsonNode tree) {
        JsonNode deadline = tree.path("deadlineMilliseconds");
        return new SubmissionBody(
                tree.path("input").textValue(),
                deadline.isMissingNode() ? Optional.empty() : Optional.of(deadline.longValue()),
                tree.path("stream").booleanValue());
    }
}
