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
        // A workspace that waited for nothing earns no credit for the time it was away.
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

    /** Removes a call, and counts it against its share where it was the one to start next. */
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
        // An emptied queue stays until the others catch up, or leaving would clear its use.
        mQueues.values()
                .removeIf(other -> other.isEmpty() && other.virtualNanos() <= mVirtualNanos);
        recordStart(nowNanos);
    }

    /** Learns the time between starts; only while calls waited does it tell the pool's pace. */
    private void recordStart(long nowNanos) {
        if (mBacklogged) {
            mStartIntervalNanos +=
                    INTERVAL_SMOOTHING * (nowNanos - mLastStartNanos - mStartIntervalNanos);
        }
        mBacklogged = mSize > 0;
        mLastStartNanos = nowNanos;
    }

    /** Time until a call of the workspace that came now would start. */
    long expectedWaitNanos(WorkspaceName workspace) {
        WorkspaceQueue queue = mQueues.get(mOrder.separatesWorkspaces() ? workspace : SHARED);
        return queue == null ? 0 : (long) (queue.calls().size() * turnNanos());
    }

    private double turnNanos() {
        long sharers = mQueues.values().stream().filter(queue -> !queue.isEmpty()).count();
        return mStartIntervalNanos * sharers;
    }

    /** Call with the least chance, judged by its slack less the wait until its turn. */
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
