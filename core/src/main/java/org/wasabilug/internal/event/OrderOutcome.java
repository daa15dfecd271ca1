package org.wasabilug.internal.event;

import java.util.Set;

/** Outcome of an order to an engine or of a read of its state. */
public sealed interface OrderOutcome {
    /**
     * The engine reported its current state.
     *
     * @param model model that the engine serves
     * @param version version of the model
     * @param adapters adapters loaded by the engine
     * @param role role of the engine
     * @param fencingNumber highest fencing number that the engine has seen; 0 if it tracks none
     */
    record State(
            String model, String version, Set<String> adapters, String role, long fencingNumber)
            implements OrderOutcome {}

    /**
     * The engine rejected the order because its fencing number is stale.
     *
     * @param newerNumber highest fencing number that the engine has seen
     */
    record StaleFencing(long newerNumber) implements OrderOutcome {}

    /** The engine did not respond; the order may have taken effect. */
    record Unreachable() implements OrderOutcome {}
}
