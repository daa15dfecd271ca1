package org.wasabilug.bench.internal.virtual;

import java.util.Map;

/**
 * Results of a run; the component names are the field names in JSON.
 *
 * @param submitted number of requests that arrived in the window
 * @param answeredInTime share of these that were completely answered within the deadline
 * @param inTimeBefore the same for arrivals before the disturbance; 1 if there were none
 * @param inTimeDuring the same for arrivals during the disturbance
 * @param inTimeAfter the same for arrivals after the disturbance
 * @param goodput ratio of requests answered in time within the window to its capacity
 * @param costByPool ratio of chunks produced to chunks of answered requests, by pool
 * @param wasted share of all chunks produced that belong to no answered request
 * @param refusals number of refused requests by error code
 * @param capacityPerSecond capacity during the disturbance, in requests per second
 */
public record Figures(
        long submitted,
        double answeredInTime,
        double inTimeBefore,
        double inTimeDuring,
        double inTimeAfter,
        double goodput,
        Map<String, Double> costByPool,
        double wasted,
        Map<String, Long> refusals,
        double capacityPerSecond) {}
