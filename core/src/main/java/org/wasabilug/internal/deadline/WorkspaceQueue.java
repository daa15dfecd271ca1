package org.wasabilug.internal.deadline;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * Calls of one workspace that wait for one pool, and the usage charged to the workspace's share.
 */
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

    /** Charges a started call to the share. */
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

    /** Returns the number of waiting calls divided by the weight. */
    double relativeSize() {
        return (double) mCalls.size() / mWeight;
    }
}
