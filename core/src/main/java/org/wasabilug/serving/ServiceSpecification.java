package org.wasabilug.serving;

import java.util.Optional;

/**
 * A group of endpoints that do the same work.
 *
 * @param name name of the service
 * @param healthPath path of the health check
 * @param maximumConnections connections that one endpoint accepts from all callers
 * @param coldStartMillis time for which an endpoint stays cold
 * @param coldRequestsPerSecond requests that a cold endpoint bears; 0 where there is no limit
 * @param engine present for model engines
 * @param stage present for services that do stages
 */
public record ServiceSpecification(
        String name,
        String healthPath,
        int maximumConnections,
        long coldStartMillis,
        double coldRequestsPerSecond,
        Optional<EngineCapacity> engine,
        Optional<StageCapacity> stage) {}
