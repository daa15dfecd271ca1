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

/** The one right result of each stage of each request, the same at every endpoint. */
public final class StageResults {
    private StageResults() {}

    /**
     * Parts of a result.
     *
     * @param request the request
     * @param stage the stage
     * @param profile gives how many parts there are
     * @return the parts in order
     */
    static List<String> parts(RequestId request, StageName stage, EndpointProfile profile) {
        int spread = profile.maxChunks() - profile.minChunks() + 1;
        int count = profile.minChunks() + Math.floorMod(hash(request, stage), spread);
        List<String> parts = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            parts.add("<" + request + "/" + stage + "#" + index + ">");
        }
        return parts;
    }

    private static int hash(RequestId request, StageName stage) {
        return Hashing.murmur3_32_fixed()
                .hashString(request.value() + "/" + stage.value(), StandardCharsets.UTF_8)
                .asInt();
    }

    /**
     * The right whole answer.
     *
     * @param request the request
     * @param pipeline its pipeline
     * @param profiles profile of the pool of each stage
     * @return the results of all stages in order
     */
    public static String answer(
            RequestId request, Pipeline pipeline, Function<Stage, EndpointProfile> profiles) {
        StringBuilder answer = new StringBuilder();
        for (Stage stage : pipeline.stages()) {
            parts(request, stage.name(), profiles.apply(stage)).forEach(answer::append);
        }
        return answer.toString();
    }
}
