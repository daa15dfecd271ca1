package org.wasabilug.serving;

import java.util.List;

/**
 * A workspace and its API keys.
 *
 * @param workspace name of the workspace
 * @param keys keys of the workspace's callers
 * @param rank priority class of its requests, 0 is the most urgent; negative if the route's rank
 *     applies
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
