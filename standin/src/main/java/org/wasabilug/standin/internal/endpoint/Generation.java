package org.wasabilug.standin.internal.endpoint;

import java.util.HashSet;
import java.util.Set;

/** One process incarnation of an endpoint. Not thread-safe; guarded by its owner. */
final class Generation {
    private final long mNumber;
    private final Set<Runnable> mAborts = new HashSet<>();
    private long mWarmAtNanos;
    private int mInFlight;
    private boolean mCrashed;

    Generation(long number, long warmAtNanos) {
        mNumber = number;
        mWarmAtNanos = warmAtNanos;
    }

    long number() {
        return mNumber;
    }

    boolean isCold(long nowNanos) {
        return nowNanos - mWarmAtNanos < 0;
    }

    void turnCold(long warmAtNanos) {
        mWarmAtNanos = warmAtNanos;
    }

    int inFlight() {
        return mInFlight;
    }

    /**
     * Adds a call in flight.
     *
     * @param abort aborts its answer
     */
    void addCall(Runnable abort) {
        mInFlight += 1;
        mAborts.add(abort);
    }

    void removeCall(Runnable abort) {
        mInFlight -= 1;
        mAborts.remove(abort);
    }

    boolean isCrashed() {
        return mCrashed;
    }

    void crash() {
        mCrashed = true;
        mAborts.forEach(Runnable::run);
        mAborts.clear();
    }
}
