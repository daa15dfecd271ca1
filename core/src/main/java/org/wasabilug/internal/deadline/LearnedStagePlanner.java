package org.wasabilug.internal.deadline;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.PipelineName;
import org.wasabilug.model.Stage;
import org.wasabilug.model.StageName;

/**
 * Splits deadlines according to observed stage durations along the longest remaining path.
 *
 * <p>Memory is bounded: one small histogram per stage, for the most recently used pipelines only.
 */
public final class LearnedStagePlanner implements StagePlanner {
    private static final int MAXIMUM_PIPELINES = 256;
    private static final double MEDIAN = 0.5;
    private static final double HIGH_PERCENTILE = 0.9;

    private final Map<PipelineName, Map<StageName, DecayingHistogram>> mTimes =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(
                        Map.Entry<PipelineName, Map<StageName, DecayingHistogram>> eldest) {
                    return size() > MAXIMUM_PIPELINES;
                }
            };

    /** Creates a planner without observations. */
    public LearnedStagePlanner() {}

    @Override
    public long expectedNanos(Pipeline pipeline, Set<StageName> done) {
        long longest = 0;
        Map<StageName, Long> paths = pathsFrom(pipeline, HIGH_PERCENTILE);
        for (Stage stage : pipeline.stages()) {
            if (!done.contains(stage.name())) {
                longest = Math.max(longest, paths.get(stage.name()));
            }
        }
        return longest;
    }

    @Override
    public long stageBudgetNanos(Pipeline pipeline, StageName stage, long remainingNanos) {
        if (remainingNanos <= 0) {
            return 0;
        }
        long path = pathsFrom(pipeline, MEDIAN).getOrDefault(stage, 0L);
        long stageNanos = percentileNanos(pipeline.name(), stage, MEDIAN);
        long following = path - stageNanos;
        long unreserved = remainingNanos - following;
        long proportional = path == 0 ? 0 : (long) ((double) remainingNanos * stageNanos / path);
        return Math.clamp(Math.max(unreserved, proportional), 0, remainingNanos);
    }

    /**
     * Returns, for each stage, a percentile of the duration of the longest path that starts with
     * it.
     */
    private Map<StageName, Long> pathsFrom(Pipeline pipeline, double share) {
        Map<StageName, Long> laterPaths = new HashMap<>();
        Map<StageName, Long> paths = new HashMap<>();
        // Stages only read results of earlier stages, so iterating backwards visits readers first.
        for (Stage stage : pipeline.stages().reversed()) {
            long path =
                    percentileNanos(pipeline.name(), stage.name(), share)
                            + laterPaths.getOrDefault(stage.name(), 0L);
            paths.put(stage.name(), path);
            mergeMaximum(laterPaths, stage.after(), path);
        }
        return paths;
    }

    private static void mergeMaximum(
            Map<StageName, Long> paths, List<StageName> stages, long path) {
        for (StageName stage : stages) {
            paths.merge(stage, path, Math::max);
        }
    }

    /**
     * Returns a percentile of a stage's recent durations.
     *
     * @param pipeline the pipeline
     * @param stage the stage
     * @param share share of calls that take no longer than the returned time, from 0 to 1
     * @return the duration in nanoseconds; 0 if there are no observations
     */
    public long percentileNanos(PipelineName pipeline, StageName stage, double share) {
        Map<StageName, DecayingHistogram> stages = mTimes.get(pipeline);
        DecayingHistogram times = stages == null ? null : stages.get(stage);
        return times == null ? 0 : times.percentileNanos(share);
    }

    @Override
    public void observe(PipelineName pipeline, StageName stage, long elapsedNanos) {
        mTimes.computeIfAbsent(pipeline, name -> new HashMap<>())
                .computeIfAbsent(stage, name -> new DecayingHistogram())
                .add(elapsedNanos);
    }

    @Override
    public void discountObservations(PipelineName pipeline, StageName stage) {
        Map<StageName, DecayingHistogram> stages = mTimes.get(pipeline);
        if (stages != null && stages.containsKey(stage)) {
            stages.get(stage).halve();
        }
    }
}
