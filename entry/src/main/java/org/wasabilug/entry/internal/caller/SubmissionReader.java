package org.wasabilug.entry.internal.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wasabilug.entry.internal.http.Json;
import org.wasabilug.model.Finding;

/** Parses the bodies of submitted requests and reports every error in them. */
final class SubmissionReader {
    private static final Set<String> FIELDS = Set.of("input", "deadlineMilliseconds", "stream");

    private SubmissionReader() {}

    static SubmissionBody.Outcome read(String text) {
        Optional<JsonNode> tree = Json.read(text).filter(JsonNode::isObject);
        if (tree.isEmpty()) {
            return new SubmissionBody.Rejected(
                    List.of(
                            new Finding(
                                    "body", "must be one JSON object without repeated fields")));
        }
        List<Finding> findings = findingsOf(tree.get());
        return findings.isEmpty()
                ? new SubmissionBody.Parsed(SubmissionBody.of(tree.get()))
                : new SubmissionBody.Rejected(findings);
    }

    private static List<Finding> findingsOf(JsonNode tree) {
        List<Finding> findings = new ArrayList<>();
        if (!tree.path("input").isTextual()) {
            findings.add(new Finding("input", "must be a string"));
        }
        JsonNode deadline = tree.path("deadlineMilliseconds");
        if (!deadline.isMissingNode()
                && !(deadline.isIntegralNumber() && deadline.canConvertToLong())) {
            findings.add(new Finding("deadlineMilliseconds", "must be an integer"));
        }
        JsonNode stream = tree.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            findings.add(new Finding("stream", "must be true or false"));
        }
        tree.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!FIELDS.contains(name)) {
                                findings.add(new Finding(name, "is not a field of a request"));
                            }
                        });
        return findings;
    }
}
