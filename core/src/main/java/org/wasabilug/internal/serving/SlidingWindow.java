package org.wasabilug.internal.serving;

import java.util.ArrayDeque;

/** Counts events of the last while; exact for any span of the window's length. */
public final class SlidingWindow {
    private final long mLengthMillis;
    private final ArrayDeque<Long> mTimes = new ArrayDeque<>();

    /**
     * Makes an empty window.
     *
     * @param lengthMillis length of the window
     */
    public SlidingWindow(long lengthMillis) {
        mLengthMillis = lengthMillis;
    }

    /**
     * Notes an event.
     *
     * @param nowMillis when it happened
     */
    public void add(long nowMillis) {
        mTimes.addLast(nowMillis);
    }

    /**
     * Counts the events that still lie inside the window.
     *
     * @param nowMillis end of the window
     * @return their number
     */
    public int count(long nowMillis) {
        while (!mTimes.isEmpty() && mTimes.peekFirst() <= nowMillis - mLengthMillis) {
            mTimes.removeFirst();
        }
        return mTimes.size();
    }
}
