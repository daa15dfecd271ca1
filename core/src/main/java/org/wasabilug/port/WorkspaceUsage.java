package org.wasabilug.port;

/**
 * Usage of a workspace's limits at one instance.
 *
 * @param inFlight requests in flight
 * @param requestsPerSecond rate of new requests, smoothed
 */
public record WorkspaceUsage(int inFlight, double requestsPerSecond) {}
