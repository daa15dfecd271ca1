package org.wasabilug.internal.serving;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.serving.Route;
import org.wasabilug.serving.RouteStage;

/**
 * Learns how long the steps of requests take, waiting included, for each rank apart.
 *
 * <p>Where a stage is overloaded only less urgent ranks wait, so only these are predicted to be
 * late. A prediction without new samples falls back to the usual time, so that nothing is refused
 * for good.
 */
public final class StageTimes {
    private static final double SAMPLE_WEIGHT = 0.1;
    private static final double USUAL_STEP_MILLIS = 250;
    private static final double HALF_LIFE_MILLIS = 700;

    private final Map<Step, Learned> mSteps = new HashMap<>();

    /** A service and the rank of the requests for which it works. */
    private record Step(String service, int rank) {}

    /** Mean of the last times, and when it was learned. */
    private record Learned(double millis, long atMillis) {}

    /**
     * Notes how long a step took.
     *
     * @param service service that did it
     * @param rank urgency of the request, 0 first
     * @param millis time from its order to its result, or to a stream's first event
     * @param nowMillis now
     */
    public void recordTime(String service, int rank, double millis, long nowMillis) {
        double old = expectedMillis(service, rank, nowMillis);
        double mean = old + SAMPLE_WEIGHT * (millis - old);
        mSteps.put(new Step(service, rank), new Learned(mean, nowMillis));
    }

    /**
     * Predicts how long a step takes.
     *
     * @param service service that does it
     * @param rank urgency of the request, 0 first
     * @param nowMillis now
     * @return milliseconds
     */
    public double expectedMillis(String service, int rank, long nowMillis) {
        Learned learned = mSteps.get(new Step(service, rank));
        if (learned == null) {
            return USUAL_STEP_MILLIS;
        }
        double weight = Math.pow(0.5, (nowMillis - learned.atMillis()) / HALF_LIFE_MILLIS);
        return USUAL_STEP_MILLIS + weight * (learned.millis() - USUAL_STEP_MILLIS);
    }

    /**
     * What is left of a request after one of its stages.
     *
     * @param route route of the request
     * @param pieces pieces of each stage; stages without any take no time
     * @param engineService service that runs the request itself
     * @param rank urgency of the request, 0 first
     */
    public record RequestPlan(Route route, List<Integer> pieces, String engineService, int rank) {}

    /**
     * Predicts the time from the end of a stage to the first event.
     *
     * @param journey the request
     * @param stage position of the stage
     * @param nowMillis now
     * @return milliseconds along the longest way
     */
    public double remainingMillis(RequestPlan journey, int stage, long nowMillis) {
        return expectedMillis(journey.engineService(), journey.rank(), nowMillis)
                + followers(journey, stage, nowMillis);
    }

    private double followers(RequestPlan journey, int stage, long nowMillis) {
        List<RouteStage> stages = journey.route().stages();
        double longest = 0;
        for (int next = stage + 1; next < stages.size(); next++) {
            if (stages.get(next).after().contains(stage)) {
                boolean needed = next < journey.pieces().size() && journey.pieces().get(next) > 0;
                String service = stages.get(next).service();
                double own = needed ? expectedMillis(service, journey.rank(), nowMillis) : 0;
                longest = Math.max(longest, own + followers(journey, next, nowMillis));
            }
        }
        return longest;
    }
}
