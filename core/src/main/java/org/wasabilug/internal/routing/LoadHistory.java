package org.wasabilug.internal.routing;

/**
 * Number of this instance's calls in flight at an endpoint, now and at recent times, in fixed
 * memory.
 */
final class LoadHistory {
    private static final int CAPACITY = 32;

    private final long[] mTimes = new long[CAPACITY];
    private final int[] mCounts = new int[CAPACITY];
    private int mNext;
    private int mSize;
    private int mCurrent;

    void change(int difference, long nowNanos) {
        mCurrent += difference;
        mTimes[mNext] = nowNanos;
        mCounts[mNext] = mCurrent;
        mNext = (mNext + 1) % CAPACITY;
        mSize = Math.min(CAPACITY, mSize + 1);
    }

    int current() {
        return mCurrent;
    }

    /** Returns the count at a given time, or the oldest known count if the time is earlier. */
    int countAt(long nanos) {
        int found = mCurrent;
        for (int back = 1; back <= mSize; back++) {
            int index = (mNext - back + CAPACITY) % CAPACITY;
            found = mCounts[index];
            if (mTimes[index] <= nanos) {
                return found;
            }
        }
        // Before the first change no call was in flight. If older entries were overwritten, the
        // oldest remaining one is the best estimate.
        return mSize < CAPACITY ? 0 : found;
    }
}
