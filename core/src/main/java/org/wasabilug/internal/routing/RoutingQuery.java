package org.wasabilug.internal.routing;

import java.util.List;
import java.util.Set;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.WorkspaceName;

/**
 * What the router has to know about an attempt.
 *
 * @param pool pool that runs the stage
 * @param workspace workspace of the request
 * @param prefixHashes hashes of growing prefixes of the input, shortest first; empty where the pool
 *     keeps no prefix cache
 * @param avoid endpoints that failed this stage of this request
 * @param remainingNanos time left for the stage, in nanoseconds
 * @param suspect true where the request may have crashed an endpoint and must run apart from other
 *     suspects
 */
public record RoutingQuery(
        PoolName pool,
        WorkspaceName workspace,
        List<Long> prefixHashes,
        Set<EndpointName> avoid,
        long remainingNanos,
        boolean suspect) {
    /** Copies the collections. */
    public RoutingQuery {
        prefixHashes = List.copyOf(prefixHashes);
        avoid = Set.copyOf(avoid);
    }
}
