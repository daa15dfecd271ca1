package org.wasabilug.serving;

import java.util.Optional;

/**
 * A group of interchangeable endpoints.
 *
 * @param name name of the service
 * @param healthPath path of the health check
 * @param maximumConnections maximum number of connections that one endpoint accepts from all
 *     callers
 * @param coldStartMillis time for which an endpoint stays cold, in milliseconds
 * @param coldRequestsPerSecond request rate that a cold endpoint can handle; 0 if there is no limit
 * @param engine capacity of a model engine; empty for other services
 * @param stage capacity for stage calls; empty for services that run no stages
 */
public record ServiceSpecification(
        String name,
        String healthPath,
        int maximumConnections,
        long coldStartMillis,
        double coldRequestsPerSecond,
        Optional<EngineCapacity> engine,
        Optional<StageCapacity> stage) {}
