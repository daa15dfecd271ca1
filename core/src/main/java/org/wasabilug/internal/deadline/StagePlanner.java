package org.wasabilug.internal.deadline;

import java.util.Set;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.PipelineName;
import org.wasabilug.model.StageName;

/** Splits deadlines according to observed stage durations. */
public interface StagePlanner {
    /**
     * Returns the expected duration of the rest of a pipeline.
     *
     * @param pipeline the pipeline
     * @param done stages whose results are complete
     * @return duration of the longest path through the other stages, in nanoseconds; 0 without
     *     observations
     */
    long expectedNanos(Pipeline pipeline, Set<StageName> done);

    /**
     * Returns the time that a stage may take so that later stages can still meet the deadline.
     *
     * @param pipeline the pipeline
     * @param stage the stage
     * @param remainingNanos time left until the deadline of the answer, in nanoseconds
     * @return time for the stage, in nanoseconds; at most the remaining time
     */
    long stageBudgetNanos(Pipeline pipeline, StageName stage, long remainingNanos);

    /**
     * Records the duration of a completed stage.
     *
     * @param pipeline the pipeline
     * @param stage the stage
     * @param elapsedNanos time from the first dispatch to the complete result, in nanoseconds
     */
    void observe(PipelineName pipeline, StageName stage, long elapsedNanos);

    /**
     * Halves the weight of a stage's observations, because they may no longer be valid.
     *
     * @param pipeline the pipeline
     * @param stage the stage
     */
    void discountObservations(PipelineName pipeline, StageName stage);
}
