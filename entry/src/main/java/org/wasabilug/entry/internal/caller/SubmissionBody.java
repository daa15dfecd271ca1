package org.wasabilug.entry.internal.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.wasabilug.model.Finding;

/**
 * Body of a submitted request.
 *
 * @param input the caller's input
 * @param deadlineMilliseconds time for the whole answer; empty for the deadline of the pipeline
 * @param streamed true where the caller reads parts as they come
 */
record SubmissionBody(String input, Optional<Long> deadlineMilliseconds, boolean streamed) {

    /** Result of reading a body. */
    sealed interface Outcome {}

    /**
     * The body is right.
     *
     * @param body the body
     */
    record Parsed(SubmissionBody body) implements Outcome {}

    /**
     * The body has faults.
     *
     * @param findings each with its place
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
