package org.wasabilug.port;

import org.wasabilug.model.EndpointName;

/**
 * Evidence that an endpoint crashed while a request was running on it.
 *
 * @param fingerprint hash of the request's content, independent of the request id
 * @param endpoint the endpoint
 * @param generation generation of the endpoint's process that crashed
 * @param alone true if no other request was running at the same time
 * @param ageMilliseconds time since the crash
 */
public record CrashEvidence(
        long fingerprint,
        EndpointName endpoint,
        long generation,
        boolean alone,
        long ageMilliseconds) {}
