package org.wasabilug.endpoint.wire;

import java.util.Set;

/**
 * Body of an order to an engine.
 *
 * @param model model to serve
 * @param version version of the model
 * @param adapters adapters to hold
 * @param role role of the engine
 * @param fencingNumber number of the right under which the order is given
 */
public record StateOrder(
        String model, String version, Set<String> adapters, String role, long fencingNumber) {
    /** Copies the set. */
    public StateOrder {
        adapters = Set.copyOf(adapters);
    }
}
