package org.wasabilug.internal.execution;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.wasabilug.error.Reporter;
import org.wasabilug.model.StageName;

/** Composes the input of a stage from the request body and the results of earlier stages. */
final class StageInput {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private StageInput() {}

    /** Returns the request body for a first stage, else a JSON object with body and results. */
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
            throw Reporter.defect("failed to write a stage input as JSON: " + e.getMessage());
        }
    }
}
