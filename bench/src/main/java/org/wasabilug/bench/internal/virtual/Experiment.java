package org.wasabilug.bench.internal.virtual;

/**
 * Parameters of one run of one contender.
 *
 * @param deployment deployment that receives the load
 * @param contender routing and queueing policies
 * @param load arrival rate as a share of the capacity that remains during the disturbance
 * @param disturbance fault or change of load in the middle of the window
 * @param seed random seed of arrivals and of all other random choices
 * @param milliseconds length of the measured window in virtual time
 */
public record Experiment(
        Deployment deployment,
        Contender contender,
        double load,
        Disturbance disturbance,
        long seed,
        long milliseconds) {}
