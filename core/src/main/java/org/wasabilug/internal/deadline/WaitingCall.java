package org.wasabilug.internal.deadline;

import org.wasabilug.model.PoolName;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;
import org.wasabilug.model.WorkspaceName;

/**
 * A stage call that waits for room.
 *
 * @param request the request
 * @param stage the stage
 * @param pool pool that runs it
 * @param workspace workspace of the request
 * @param shareWeight weight of the workspace's share
 * @param latestStartNanos last moment at which starting still makes the deadline
 * @param deadlineNanos deadline of the whole answer
 * @param expectedNanos expected time of all that is left to run
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
