package org.wasabilug.port;

/**
 * Use of one workspace's limits at one instance.
 *
 * @param inFlight requests in flight
 * @param requestsPerSecond requests started a second, smoothed
 */
public record WorkspaceUsage(int inFlight, double requestsPerSecond) {}
