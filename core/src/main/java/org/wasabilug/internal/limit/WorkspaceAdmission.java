package org.wasabilug.internal.limit;

import org.wasabilug.model.Workspace;
import org.wasabilug.model.WorkspaceName;

/** Holds workspaces to their limits, over all instances within a stated error. */
public interface WorkspaceAdmission {
    /**
     * Asks for one more request.
     *
     * @param workspace the workspace
     * @param nowNanos monotonic time, in nanoseconds
     * @return whether it may start
     */
    AdmissionDecision admit(Workspace workspace, long nowNanos);

    /**
     * Ends an admitted request.
     *
     * @param workspace the workspace
     * @param nowNanos monotonic time, in nanoseconds
     */
    void release(WorkspaceName workspace, long nowNanos);
}
