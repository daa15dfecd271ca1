package org.wasabilug.internal.deadline;

import java.util.Comparator;
import java.util.Optional;
import java.util.TreeMap;
import org.wasabilug.model.WorkspaceName;

/** Calls that wait for one pool. */
final class PoolQueue {
    private static final WorkspaceName SHARED = new WorkspaceName("shared");
    private static final double INTERVAL_SMOOTHING = 0.1;

    private final QueueOrder mOrder;
    private final TreeMap<WorkspaceName, WorkspaceQueue> mQueues = new TreeMap<>();
    private int mSize;
    private double mVirtualNanos;
    private WaitingCall mPeeked;
    private long mLastStartNanos;
    private boolean mBacklogged;
    private double mStartIntervalNanos;

    PoolQueue(QueueOrder order) {
        mOrder = order;
    }

    private WorkspaceName groupOf(WaitingCall call) {
        return mOrder.separatesWorkspaces() ? call.workspace() : SHARED;
    }

    void add(WaitingCall call) {
        // A workspace earns no credit for time during which it had no waiting calls.
        mQueues.computeIfAbsent(groupOf(call), name -> new WorkspaceQueue(mOrder.comparator()))
                .add(call, mVirtualNanos);
        mSize++;
    }

    Optional<WaitingCall> peek() {
        Optional<WorkspaceQueue> next = nextQueue();
        next.ifPresent(queue -> mPeeked = queue.first());
        return next.map(WorkspaceQueue::first);
    }

    private Optional<WorkspaceQueue> nextQueue() {
        return mQueues.values().stream()
                .filter(queue -> !queue.isEmpty())
                .min(Comparator.comparingDouble(WorkspaceQueue::virtualNanos));
    }

    /** Removes a call. If it was the next to start, it is charged to its workspace's share. */
    void remove(WaitingCall call, long nowNanos) {
        WorkspaceQueue queue = mQueues.get(groupOf(call));
        queue.remove(call);
        mSize--;
        if (call.equals(mPeeked)) {
            started(queue, call, nowNanos);
        }
    }

    /** Removes a call that will not start. */
    void discard(WaitingCall call) {
        mQueues.get(groupOf(call)).remove(call);
        mSize--;
        if (call.equals(mPeeked)) {
            mPeeked = null;
        }
    }

    private void started(WorkspaceQueue queue, WaitingCall call, long nowNanos) {
        mPeeked = null;
        mVirtualNanos = Math.max(mVirtualNanos, queue.virtualNanos());
        queue.charge(call);
        // An empty queue is kept until the others catch up; otherwise its usage would be reset.
        mQueues.values()
                .removeIf(other -> other.isEmpty() && other.virtualNanos() <= mVirtualNanos);
        recordStart(nowNanos);
    }

    /**
     * Updates the average interval between starts, which only reflects the pool's throughput while
     * calls are waiting.
     */
    private void recordStart(long nowNanos) {
        if (mBacklogged) {
            mStartIntervalNanos +=
                    INTERVAL_SMOOTHING * (nowNanos - mLastStartNanos - mStartIntervalNanos);
        }
        mBacklogged = mSize > 0;
        mLastStartNanos = nowNanos;
    }

    /** Returns the expected wait of a call of the workspace if it were added now. */
    long expectedWaitNanos(WorkspaceName workspace) {
        WorkspaceQueue queue = mQueues.get(mOrder.separatesWorkspaces() ? workspace : SHARED);
        return queue == null ? 0 : (long) (queue.calls().size() * turnNanos());
    }

    private double turnNanos() {
        long activeQueues = mQueues.values().stream().filter(queue -> !queue.isEmpty()).count();
        return mStartIntervalNanos * activeQueues;
    }

    /**
     * Returns the call that is least likely to start in time: the one with the least slack after
     * its expected wait, in the queue that is longest relative to its weight.
     */
    WaitingCall evictionCandidate() {
        WorkspaceQueue longest =
                mQueues.values().stream()
                        .max(Comparator.comparingDouble(WorkspaceQueue::relativeSize))
                        .orElseThrow();
        double turnNanos = turnNanos();
        WaitingCall worst = longest.first();
        double worstMargin = Double.POSITIVE_INFINITY;
        int position = 0;
        for (WaitingCall call : longest.calls()) {
            double margin = call.latestStartNanos() - position * turnNanos;
            if (margin < worstMargin) {
                worst = call;
                worstMargin = margin;
            }
            position++;
        }
        return worst;
    }

    int size() {
        return mSize;
    }
}
