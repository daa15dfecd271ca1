package org.wasabilug.internal.event;

import java.util.Set;

/** Answer of an engine to an order or to a read of its state. */
public sealed interface OrderOutcome {
    /**
     * The engine's state now.
     *
     * @param model model that it serves
     * @param version version of the model
     * @param adapters adapters that it holds
     * @param role its role
     * @param fencingNumber highest number that it has seen; 0 where it keeps none
     */
    record State(
            String model, String version, Set<String> adapters, String role, long fencingNumber)
            implements OrderOutcome {}

    /**
     * The engine refused the order for its old fencing number.
     *
     * @param newerNumber number that the engine has seen
     */
    record StaleFencing(long newerNumber) implements OrderOutcome {}

    /** The engine can't be reached; the order may have taken effect. */
    record Unreachable() implements OrderOutcome {}
}
