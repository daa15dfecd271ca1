package org.wasabilug.serving;

import java.util.List;

/**
 * A workspace and the keys of its callers.
 *
 * @param workspace name of the workspace
 * @param keys keys that its callers send
 * @param rank urgency of its requests, 0 first; negative where the route decides
 */
public record WorkspaceKeys(String workspace, List<String> keys, int rank) {
    /** Copies the list. */
    public WorkspaceKeys {
        keys = List.copyOf(keys);
    }

    @Override
    public String toString() {
        return "WorkspaceKeys[" + workspace + ", " + keys.size() + " keys]";
    }
}
