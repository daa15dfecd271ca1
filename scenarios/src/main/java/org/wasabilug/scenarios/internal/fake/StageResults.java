package org.wasabilug.scenarios.internal.fake;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.Stage;
import org.wasabilug.model.StageName;

/** Expected results, determined by request and stage and thus the same at every endpoint. */
public final class StageResults {
    private StageResults() {}

    /**
     * Returns the chunks of a stage result.
     *
     * @param request the request
     * @param stage the stage
     * @param profile bounds on the number of chunks
     * @return the chunks in order
     */
    static List<String> chunks(RequestId request, StageName stage, EndpointProfile profile) {
        int spread = profile.maxChunks() - profile.minChunks() + 1;
        int count = profile.minChunks() + Math.floorMod(hash(request, stage), spread);
        List<String> chunks = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            chunks.add("<" + request + "/" + stage + "#" + index + ">");
        }
        return chunks;
    }

    private static int hash(RequestId request, StageName stage) {
        return Hashing.murmur3_32_fixed()
                .hashString(request.value() + "/" + stage.value(), StandardCharsets.UTF_8)
                .asInt();
    }

    /**
     * Returns the expected complete answer of a request.
     *
     * @param request the request
     * @param pipeline its pipeline
     * @param profiles function from a stage to the profile of its pool
     * @return the concatenated results of all stages, in pipeline order
     */
    public static String answer(
            RequestId request, Pipeline pipeline, Function<Stage, EndpointProfile> profiles) {
        StringBuilder answer = new StringBuilder();
        for (Stage stage : pipeline.stages()) {
            chunks(request, stage.name(), profiles.apply(stage)).forEach(answer::append);
        }
        return answer.toString();
    }
}
