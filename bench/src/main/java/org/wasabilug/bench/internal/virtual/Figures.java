package org.wasabilug.bench.internal.virtual;

import java.util.Map;

/**
 * What a run showed.
 *
 * @param submitted requests that arrived in the window
 * @param answeredInTime share of them that got their whole answer within the deadline
 * @param inTimeBefore the same for arrivals before the disturbance; 1 where there were none
 * @param inTimeDuring the same for arrivals while it lasted
 * @param inTimeAfter the same for arrivals after it
 * @param goodput answers in time during the window over what capacity allowed in it
 * @param costByPool chunks made over chunks of answered requests, for each pool
 * @param wasted share of all chunks made that belong to no answered request
 * @param refusals refused requests by error code
 * @param capacityPerSecond capacity while the disturbance lasts, in requests a second
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
