package org.wasabilug.internal.deadline;

import java.util.List;
import java.util.Optional;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;
import org.wasabilug.model.WorkspaceName;

/** Bounded queue of calls that wait for capacity, in the order in which they should start. */
public interface WaitingCalls {
    /**
     * Adds a call, evicting one if the queue is full.
     *
     * @param call the call
     * @return the evicted call, which may be the added one; empty if there was capacity
     */
    Optional<WaitingCall> add(WaitingCall call);

    /**
     * Returns the call that should start next at a pool, without removing it.
     *
     * @param pool the pool
     * @param nowNanos current monotonic time, in nanoseconds
     * @return the call, or empty if none is waiting
     */
    Optional<WaitingCall> peek(PoolName pool, long nowNanos);

    /**
     * Removes a call that has started or is no longer needed.
     *
     * @param request the request
     * @param stage the stage
     */
    void remove(RequestId request, StageName stage);

    /**
     * Removes the calls that can no longer meet their deadline.
     *
     * @param nowNanos current monotonic time, in nanoseconds
     * @return the removed calls, earliest latest start time first
     */
    List<WaitingCall> removeExpired(long nowNanos);

    /**
     * Predicts how long a call would wait if it were added now, from the rate of recent starts.
     *
     * @param pool the pool
     * @param workspace workspace of the call
     * @return time in nanoseconds; 0 if no call of the workspace is waiting
     */
    long expectedWaitNanos(PoolName pool, WorkspaceName workspace);

    /** Returns the number of waiting calls over all pools. */
    int size();

    /** Returns the pools for which calls are waiting, in a fixed order. */
    List<PoolName> pools();
}
