package org.wasabilug.internal.serving;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.serving.Route;
import org.wasabilug.serving.RouteStage;

/** Learns how long the steps of requests take, to tell which can still be on time. */
public final class StageTimes {
    private static final double SAMPLE_WEIGHT = 0.1;
    private static final double UNKNOWN_STEP_MILLIS = 250;

    private final Map<String, Double> mMillis = new HashMap<>();

    /**
     * Notes how long a step took, waiting included.
     *
     * @param service service that did it
     * @param millis time from its order to its result, or to a stream's first event
     */
    public void took(String service, double millis) {
        mMillis.merge(service, millis, (old, each) -> old + SAMPLE_WEIGHT * (each - old));
    }

    /**
     * Predicts how long a step takes, waiting included.
     *
     * @param service service that does it
     * @return milliseconds
     */
    public double expectedMillis(String service) {
        return mMillis.getOrDefault(service, UNKNOWN_STEP_MILLIS);
    }

    /**
     * Predicts the time from the end of a stage to the first event.
     *
     * @param route route of the request
     * @param stage position of the stage
     * @param pieces pieces of each stage; stages without any take no time
     * @param engineService service that runs the request itself
     * @return milliseconds along the longest way
     */
    public double remainingMillis(
            Route route, int stage, List<Integer> pieces, String engineService) {
        return expectedMillis(engineService) + followers(route.stages(), stage, pieces);
    }

    private double followers(List<RouteStage> stages, int stage, List<Integer> pieces) {
        double longest = 0;
        for (int next = stage + 1; next < stages.size(); next++) {
            if (stages.get(next).after().contains(stage)) {
                boolean needed = next < pieces.size() && pieces.get(next) > 0;
                double own = needed ? expectedMillis(stages.get(next).service()) : 0;
                longest = Math.max(longest, own + followers(stages, next, pieces));
            }
        }
        return longest;
    }
}
