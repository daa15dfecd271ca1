package org.wasabilug.endpoint.wire;

import java.util.Set;

/**
 * Body of an order to an engine.
 *
 * @param model model to serve
 * @param version version of the model
 * @param adapters adapters to load
 * @param role role of the engine
 * @param fencingNumber fencing number of the right to order the engines of the pool
 */
public record StateOrder(
        String model, String version, Set<String> adapters, String role, long fencingNumber) {
    /** Copies the set. */
    public StateOrder {
        adapters = Set.copyOf(adapters);
    }
}
