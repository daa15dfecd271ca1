package org.wasabilug.port;

import org.wasabilug.model.EndpointName;

/**
 * An endpoint crashed while a request ran on it.
 *
 * @param fingerprint hash of the request's content, the same under whatever id it is sent
 * @param endpoint the endpoint
 * @param generation life of the endpoint that ended
 * @param alone true where no other request ran beside it
 * @param ageMilliseconds how long ago
 */
public record CrashEvidence(
        long fingerprint,
        EndpointName endpoint,
        long generation,
        boolean alone,
        long ageMilliseconds) {}
