package org.wasabilug.bench.internal.report;

import org.wasabilug.bench.internal.virtual.Experiment;
import org.wasabilug.bench.internal.virtual.Figures;

/**
 * One line of a report.
 *
 * @param deployment name of the deployment
 * @param disturbance name of the disturbance
 * @param load arrivals as a share of capacity
 * @param contender name of the way of deciding
 * @param seed seed of the run
 * @param figures what the run showed
 */
public record ResultRow(
        String deployment,
        String disturbance,
        double load,
        String contender,
        long seed,
        Figures figures) {
    /**
     * Joins an experiment with its figures.
     *
     * @param experiment the experiment
     * @param figures its figures
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
