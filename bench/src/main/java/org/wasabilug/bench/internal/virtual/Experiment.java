package org.wasabilug.bench.internal.virtual;

/**
 * One run of one contender.
 *
 * @param deployment whose shape is loaded
 * @param contender way of deciding
 * @param load arrivals as a share of capacity; 1 for all of it
 * @param disturbance what goes wrong
 * @param seed seed of arrivals and of every random choice
 * @param milliseconds length of the measured window
 */
public record Experiment(
        Deployment deployment,
        Contender contender,
        double load,
        Disturbance disturbance,
        long seed,
        long milliseconds) {}
