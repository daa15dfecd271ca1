package org.wasabilug.port;

/**
 * An endpoint's own view of its load; it lags.
 *
 * @param generation number of the endpoint process's life; another number means a restart
 * @param cold true while the endpoint is in cold start
 * @param inFlight calls in flight, from all instances together
 * @param queued calls that wait within the endpoint
 * @param ageMilliseconds how old the report was when it arrived
 */
public record LoadReport(
        long generation, boolean cold, int inFlight, int queued, long ageMilliseconds) {}
