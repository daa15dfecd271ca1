package org.wasabilug.internal.limit;

import org.wasabilug.model.Workspace;
import org.wasabilug.model.WorkspaceName;

/** Enforces workspace limits over all instances, within a documented error. */
public interface WorkspaceAdmission {
    /**
     * Requests the admission of one more request.
     *
     * @param workspace the workspace
     * @param nowNanos current monotonic time, in nanoseconds
     * @return the decision
     */
    AdmissionDecision admit(Workspace workspace, long nowNanos);

    /**
     * Records the end of an admitted request.
     *
     * @param workspace the workspace
     * @param nowNanos current monotonic time, in nanoseconds
     */
    void release(WorkspaceName workspace, long nowNanos);
}
