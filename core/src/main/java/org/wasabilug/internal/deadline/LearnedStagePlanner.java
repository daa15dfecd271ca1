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
 * Splits deadlines by the learned times of the stages along the longest path that is left.
 *
 * <p>Memory is bounded: one small histogram for each stage, and only for the pipelines used most
 * recently.
 */
public final class LearnedStagePlanner implements StagePlanner {
    private static final int MAXIMUM_PIPELINES = 256;
    private static final double TYPICAL = 0.5;
    private static final double NEARLY_ALL = 0.9;

    private final Map<PipelineName, Map<StageName, DecayingHistogram>> mTimes =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(
                        Map.Entry<PipelineName, Map<StageName, DecayingHistogram>> eldest) {
                    return size() > MAXIMUM_PIPELINES;
                }
            };

    /** Makes a planner that has learned nothing. */
    public LearnedStagePlanner() {}

    @Override
    public long expectedNanos(Pipeline pipeline, Set<StageName> done) {
        long longest = 0;
        Map<StageName, Long> paths = pathsFrom(pipeline, NEARLY_ALL);
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
        long whole = pathsFrom(pipeline, TYPICAL).getOrDefault(stage, 0L);
        long own = percentileNanos(pipeline.name(), stage, TYPICAL);
        long later = whole - own;
        long leftOver = remainingNanos - later;
        long proportional = whole == 0 ? 0 : (long) ((double) remainingNanos * own / whole);
        return Math.clamp(Math.max(leftOver, proportional), 0, remainingNanos);
    }

    /** A percentile of each stage's time with all that must follow it, along the longest path. */
    private Map<StageName, Long> pathsFrom(Pipeline pipeline, double share) {
        Map<StageName, Long> laterPaths = new HashMap<>();
        Map<StageName, Long> paths = new HashMap<>();
        // Stages only read earlier ones, so one pass from the end sees every reader first.
        for (Stage stage : pipeline.stages().reversed()) {
            long path =
                    percentileNanos(pipeline.name(), stage.name(), share)
                            + laterPaths.getOrDefault(stage.name(), 0L);
            paths.put(stage.name(), path);
            raise(laterPaths, stage.after(), path);
        }
        return paths;
    }

    private static void raise(Map<StageName, Long> paths, List<StageName> stages, long path) {
        for (StageName stage : stages) {
            paths.merge(stage, path, Math::max);
        }
    }

    /**
     * Percentile of a stage's recent times.
     *
     * @param pipeline the pipeline
     * @param stage the stage
     * @param share share of calls that end within the answer, from 0 to 1
     * @return the time in nanoseconds; 0 where nothing is learned yet
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
            stages.get(stage).fade();
        }
    }
}
