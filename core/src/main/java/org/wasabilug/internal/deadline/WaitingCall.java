package org.wasabilug.internal.deadline;

import org.wasabilug.model.PoolName;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;
import org.wasabilug.model.WorkspaceName;

/**
 * A stage call that waits for capacity.
 *
 * @param request the request
 * @param stage the stage
 * @param pool pool that runs the stage
 * @param workspace workspace of the request
 * @param shareWeight weight of the workspace's share
 * @param latestStartNanos latest monotonic time, in nanoseconds, at which the call can start and
 *     meet the deadline
 * @param deadlineNanos deadline of the answer, as monotonic time in nanoseconds
 * @param expectedNanos expected duration of all remaining work, in nanoseconds
 */
public record WaitingCall(
        RequestId request,
        StageName stage,
        PoolName pool,
        WorkspaceName workspace,
        int shareWeight,
        long latestStartNanos,
        long deadlineNanos,
        long expectedNanos) {}
