package org.wasabilug.port;

import java.util.List;

/** Outcome of a read of the instance list. */
public sealed interface ListOutcome {
    /**
     * The platform's current list, which lags behind the actual state.
     *
     * @param instances live and leaving instances
     */
    record Listed(List<ListedInstance> instances) implements ListOutcome {
        /** Copies the list. */
        public Listed {
            instances = List.copyOf(instances);
        }
    }

    /** The list can't be reached. */
    record Unavailable() implements ListOutcome {}
}
