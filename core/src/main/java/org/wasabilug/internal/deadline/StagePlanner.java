package org.wasabilug.internal.deadline;

import java.util.Set;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.PipelineName;
import org.wasabilug.model.StageName;

/** Splits deadlines by learned stage times. */
public interface StagePlanner {
    /**
     * Time that the rest of a pipeline needs, as learned; at first zero.
     *
     * @param pipeline the pipeline
     * @param done stages whose results are complete
     * @return expected time along the longest path of the other stages, in nanoseconds
     */
    long expectedNanos(Pipeline pipeline, Set<StageName> done);

    /**
     * Time that one stage may take so that those after it still make the deadline.
     *
     * @param pipeline the pipeline
     * @param stage the stage
     * @param remainingNanos time left for the whole answer, in nanoseconds
     * @return time for the stage, in nanoseconds; at most what is left
     */
    long stageBudgetNanos(Pipeline pipeline, StageName stage, long remainingNanos);

    /**
     * Learns from a completed stage.
     *
     * @param pipeline the pipeline
     * @param stage the stage
     * @param elapsedNanos from first dispatch to complete result, in nanoseconds
     */
    void observe(PipelineName pipeline, StageName stage, long elapsedNanos);

    /**
     * Gives the times learned so far half their weight, since they may no longer hold.
     *
     * @param pipeline the pipeline
     * @param stage the stage
     */
    void discountObservations(PipelineName pipeline, StageName stage);
}
