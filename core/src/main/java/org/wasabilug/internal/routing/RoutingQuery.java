package org.wasabilug.internal.routing;

import java.util.List;
import java.util.Set;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.WorkspaceName;

/**
 * Properties of an attempt that determine its routing.
 *
 * @param pool pool that runs the stage
 * @param workspace workspace of the request
 * @param prefixHashes hashes of increasingly long prefixes of the input, shortest first; empty if
 *     the pool has no prefix cache
 * @param avoid endpoints at which this stage of the request has failed
 * @param remainingNanos time left for the stage, in nanoseconds
 * @param suspect true if the request may have crashed an endpoint and must not run at the same
 *     endpoint as another suspect
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
