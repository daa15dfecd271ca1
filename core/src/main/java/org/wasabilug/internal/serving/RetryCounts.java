package org.wasabilug.internal.serving;

/** Attempts at one service: those sent within the current window, and repeats that will be. */
final class RetryCounts {
    private final SlidingWindow mFirstAttempts;
    private final SlidingWindow mRepeats;
    private int mReserved;

    RetryCounts(long windowMillis) {
        mFirstAttempts = new SlidingWindow(windowMillis);
        mRepeats = new SlidingWindow(windowMillis);
    }

    void recordFirstAttempt(long nowMillis) {
        mFirstAttempts.add(nowMillis);
    }

    int firstAttempts(long nowMillis) {
        return mFirstAttempts.count(nowMillis);
    }

    /** Returns the repeats that were sent within the window. */
    int repeats(long nowMillis) {
        return mRepeats.count(nowMillis);
    }

    /** Returns the repeats that are permitted and not sent yet. */
    int reserved() {
        return mReserved;
    }

    void reserve() {
        mReserved++;
    }

    void use(long nowMillis) {
        mReserved--;
        mRepeats.add(nowMillis);
    }

    void giveBack() {
        mReserved--;
    }
}
