package org.wasabilug.standin;

/**
 * Counters of a stand-in endpoint since its start, over all generations.
 *
 * @param received calls accepted, including those that failed or crashed the endpoint
 * @param refused calls refused before any work
 * @param completed calls whose answer was sent completely
 * @param cancelled calls whose connection ended before the answer was complete
 * @param crashes crashes of the endpoint
 * @param coldOverloads calls that exceeded the cold limit when they started
 * @param maximumInFlightWhileCold maximum number of calls in flight during cold start
 * @param maximumInFlight maximum number of calls in flight
 */
public record EndpointCounts(
        long received,
        long refused,
        long completed,
        long cancelled,
        long crashes,
        long coldOverloads,
        int maximumInFlightWhileCold,
        int maximumInFlight) {}
