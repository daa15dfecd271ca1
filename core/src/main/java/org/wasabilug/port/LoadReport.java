package org.wasabilug.port;

/**
 * Load that an endpoint reports about itself; the report lags behind the actual load.
 *
 * @param generation generation of the endpoint's process; a different number means a restart
 * @param cold true while the endpoint is in cold start
 * @param inFlight calls in flight, from all instances together
 * @param queued calls queued at the endpoint
 * @param ageMilliseconds age of the report on arrival
 */
public record LoadReport(
        long generation, boolean cold, int inFlight, int queued, long ageMilliseconds) {}
