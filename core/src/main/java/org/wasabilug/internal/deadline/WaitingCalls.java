package org.wasabilug.internal.deadline;

import java.util.List;
import java.util.Optional;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;
import org.wasabilug.model.WorkspaceName;

/** Calls that wait for room, in the order in which they should start. Bounded. */
public interface WaitingCalls {
    /**
     * Adds a call.
     *
     * @param call the call
     * @return a call that had to give way, which may be the added one; empty where there was room
     */
    Optional<WaitingCall> add(WaitingCall call);

    /**
     * The call that should start next at a pool; it stays in the queue.
     *
     * @param pool the pool
     * @param nowNanos monotonic time, in nanoseconds
     * @return the call; empty where none waits
     */
    Optional<WaitingCall> peek(PoolName pool, long nowNanos);

    /**
     * Removes a call that has started or is no longer wanted.
     *
     * @param request the request
     * @param stage the stage
     */
    void remove(RequestId request, StageName stage);

    /**
     * Removes and returns the calls that can no longer make their deadline.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return the calls, soonest first
     */
    List<WaitingCall> removeExpired(long nowNanos);

    /**
     * Forecasts how long a call that came now would wait, from the pace of recent starts.
     *
     * @param pool the pool
     * @param workspace workspace of the call
     * @return time in nanoseconds; 0 where none of the workspace's calls waits
     */
    long expectedWaitNanos(PoolName pool, WorkspaceName workspace);

    /**
     * How many calls wait.
     *
     * @return the count over all pools
     */
    int size();

    /**
     * Pools for which calls wait.
     *
     * @return the pools, in a fixed order
     */
    List<PoolName> pools();
}
