package org.wasabilug.internal.serving;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.serving.Route;
import org.wasabilug.serving.RouteStage;

/**
 * Estimates how long the steps of requests take, including waiting, separately for each rank.
 *
 * <p>When a stage is overloaded only less urgent ranks wait, so only their requests are predicted
 * to miss their deadlines.
 *
 * <p>In a large fleet one instance has too few requests to estimate a stage from them. Without new
 * samples an estimate therefore decays to what the instance that sends for the service predicts
 * from its queue, and without such a report to a default, so that no rank is refused permanently.
 */
public final class StageTimes {
    private static final double SAMPLE_WEIGHT = 0.1;

    /** Expected time of a step without recent samples, in milliseconds. */
    static final double DEFAULT_STEP_MILLIS = 250;

    private static final double HALF_LIFE_MILLIS = 700;

    /** Several intervals between the heartbeats that carry reports. */
    private static final long REPORT_LIFETIME_MILLIS = 1_500;

    private final Map<Step, Estimate> mSteps = new HashMap<>();
    private final Map<Step, Estimate> mReports = new HashMap<>();

    /** A service and the rank of the requests that it runs. */
    private record Step(String service, int rank) {}

    /** Moving average of the recent times, and the time of the last update. */
    private record Estimate(double millis, long atMillis) {}

    /**
     * Records how long a step took.
     *
     * @param service service that ran the step
     * @param rank priority class of the request; 0 is the most urgent
     * @param millis time, in milliseconds, from sending the work to its result or to the first
     *     event of a stream
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordTime(String service, int rank, double millis, long nowMillis) {
        double old = expectedMillis(service, rank, nowMillis);
        double mean = old + SAMPLE_WEIGHT * (millis - old);
        mSteps.put(new Step(service, rank), new Estimate(mean, nowMillis));
    }

    /**
     * Records the time that the instance which sends for a service predicts of its queue.
     *
     * @param service service that runs the step
     * @param rank priority class of the request; 0 is the most urgent
     * @param millis predicted time from sending the work to its result, in milliseconds
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordReport(String service, int rank, double millis, long nowMillis) {
        mReports.put(new Step(service, rank), new Estimate(millis, nowMillis));
    }

    /**
     * Returns the expected time of a step, in milliseconds.
     *
     * @param service service that runs the step
     * @param rank priority class of the request; 0 is the most urgent
     * @param nowMillis current monotonic time, in milliseconds
     */
    public double expectedMillis(String service, int rank, long nowMillis) {
        Step step = new Step(service, rank);
        double reported = reportedMillis(step, nowMillis);
        Estimate sampled = mSteps.get(step);
        if (sampled == null) {
            return reported;
        }
        double weight = Math.pow(0.5, (nowMillis - sampled.atMillis()) / HALF_LIFE_MILLIS);
        return reported + weight * (sampled.millis() - reported);
    }

    private double reportedMillis(Step step, long nowMillis) {
        Estimate report = mReports.get(step);
        return report != null && nowMillis - report.atMillis() < REPORT_LIFETIME_MILLIS
                ? report.millis()
                : DEFAULT_STEP_MILLIS;
    }

    /**
     * The steps of a request.
     *
     * @param route route of the request
     * @param pieces number of pieces of each stage; stages without pieces take no time
     * @param engineService service that runs the request itself
     * @param rank priority class of the request; 0 is the most urgent
     */
    public record RequestPlan(Route route, List<Integer> pieces, String engineService, int rank) {}

    /**
     * Returns the expected time from the end of a stage to the first event, along the longest path,
     * in milliseconds.
     *
     * @param plan the steps of the request
     * @param stage index of the completed stage
     * @param nowMillis current monotonic time, in milliseconds
     */
    public double remainingMillis(RequestPlan plan, int stage, long nowMillis) {
        return expectedMillis(plan.engineService(), plan.rank(), nowMillis)
                + followingMillis(plan, stage, nowMillis);
    }

    private double followingMillis(RequestPlan plan, int stage, long nowMillis) {
        List<RouteStage> stages = plan.route().stages();
        double longest = 0;
        for (int next = stage + 1; next < stages.size(); next++) {
            if (stages.get(next).after().contains(stage)) {
                boolean needed = next < plan.pieces().size() && plan.pieces().get(next) > 0;
                String service = stages.get(next).service();
                double step = needed ? expectedMillis(service, plan.rank(), nowMillis) : 0;
                longest = Math.max(longest, step + followingMillis(plan, next, nowMillis));
            }
        }
        return longest;
    }
}
