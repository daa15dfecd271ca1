package org.wasabilug.internal.deadline;

import java.util.Comparator;
import java.util.TreeSet;

/** Calls of one workspace that wait for one pool, with the workspace's use of its share. */
final class WorkspaceQueue {
    private final TreeSet<WaitingCall> mCalls;
    private double mVirtualNanos;
    private int mWeight = 1;

    WorkspaceQueue(Comparator<WaitingCall> order) {
        mCalls = new TreeSet<>(order);
    }

    void add(WaitingCall call, double poolVirtualNanos) {
        if (mCalls.isEmpty()) {
            mVirtualNanos = Math.max(mVirtualNanos, poolVirtualNanos);
        }
        mWeight = Math.max(1, call.shareWeight());
        mCalls.add(call);
    }

    void remove(WaitingCall call) {
        mCalls.remove(call);
    }

    /** Counts a started call against the share. */
    void charge(WaitingCall call) {
        mVirtualNanos += (double) Math.max(1, call.expectedNanos()) / mWeight;
    }

    WaitingCall first() {
        return mCalls.first();
    }

    boolean isEmpty() {
        return mCalls.isEmpty();
    }

    TreeSet<WaitingCall> calls() {
        return mCalls;
    }

    double virtualNanos() {
        return mVirtualNanos;
    }

    /** WaitingPiece calls over weight. */
    double relativeSize() {
        return (double) mCalls.size() / mWeight;
    }
}
