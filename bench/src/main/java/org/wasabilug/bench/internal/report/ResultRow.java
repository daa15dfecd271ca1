package org.wasabilug.bench.internal.report;

import org.wasabilug.bench.internal.virtual.Experiment;
import org.wasabilug.bench.internal.virtual.Figures;

/**
 * One row of a report; the component names are the field names in JSON.
 *
 * @param deployment name of the deployment
 * @param disturbance name of the disturbance
 * @param load arrival rate as a share of capacity
 * @param contender name of the contender
 * @param seed random seed of the run
 * @param figures results of the run
 */
public record ResultRow(
        String deployment,
        String disturbance,
        double load,
        String contender,
        long seed,
        Figures figures) {
    /**
     * Combines an experiment with its figures.
     *
     * @param experiment the experiment
     * @param figures results of the experiment
     * @return the row
     */
    public static ResultRow of(Experiment experiment, Figures figures) {
        return new ResultRow(
                experiment.deployment().label(),
                experiment.disturbance().label(),
                experiment.load(),
                experiment.contender().label(),
                experiment.seed(),
                figures);
    }
}
