package org.wasabilug.standin;

/**
 * What a stand-in endpoint has counted itself since its start, through all its generations.
 *
 * @param received calls that it received and did not refuse
 * @param refused calls that it refused before any work
 * @param completed calls whose answer it sent completely
 * @param cancelled calls whose connection ended before
 * @param crashes crashes
 * @param coldOverloads calls received over the cold limit
 * @param maximumInFlightWhileCold most calls in flight at once during cold start
 * @param maximumInFlight most calls in flight at once
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
