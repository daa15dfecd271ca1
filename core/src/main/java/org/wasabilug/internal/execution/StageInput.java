package org.wasabilug.internal.execution;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.wasabilug.error.Reporter;
import org.wasabilug.model.StageName;

/** Composes the input of a stage from the caller's body and the results that it reads. */
final class StageInput {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private StageInput() {}

    /** The body alone for a first stage, else a JSON object with the body and the results. */
    static String compose(RequestRun run, StageRun stage) {
        if (stage.stage().after().isEmpty()) {
            return run.request().body();
        }
        ObjectNode input = MAPPER.createObjectNode();
        input.put("input", run.request().body());
        ObjectNode results = input.putObject("stages");
        for (StageName name : stage.stage().after()) {
            results.put(name.value(), run.stage(name).result().text());
        }
        try {
            return MAPPER.writeValueAsString(input);
        } catch (JsonProcessingException e) {
            throw Reporter.defect("a stage input can't be written as JSON: " + e.getMessage());
        }
    }
}
