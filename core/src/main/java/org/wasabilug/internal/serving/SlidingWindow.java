package org.wasabilug.internal.serving;

import java.util.ArrayDeque;

/** Counts events in a sliding time window. The count is exact for every window position. */
public final class SlidingWindow {
    private final long mLengthMillis;
    private final ArrayDeque<Long> mTimes = new ArrayDeque<>();

    /**
     * Creates an empty window.
     *
     * @param lengthMillis length of the window, in milliseconds
     */
    public SlidingWindow(long lengthMillis) {
        mLengthMillis = lengthMillis;
    }

    /**
     * Records an event.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void add(long nowMillis) {
        removeExpired(nowMillis);
        mTimes.addLast(nowMillis);
    }

    /**
     * Returns the number of events in the window that ends at the given time.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public int count(long nowMillis) {
        removeExpired(nowMillis);
        return mTimes.size();
    }

    /** Returns the number of events in memory. */
    int retained() {
        return mTimes.size();
    }

    private void removeExpired(long nowMillis) {
        while (!mTimes.isEmpty() && mTimes.peekFirst() <= nowMillis - mLengthMillis) {
            mTimes.removeFirst();
        }
    }
}
