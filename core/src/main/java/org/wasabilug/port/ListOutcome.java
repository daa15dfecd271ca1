package org.wasabilug.port;

import java.util.List;

/** Answer of the instance list. */
public sealed interface ListOutcome {
    /**
     * The list as the platform has it now; it lags.
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
