package org.wasabilug.gateway.internal.store;

/**
 * How long the store is to hold a poll, and how long its answer is waited for beyond that.
 *
 * <p>A lost answer is noticed only then, so the wait is short, and a multiple of how late answers
 * are. It grows while there are none, as the store may be slow. The hold then shrinks as much, so
 * that a lost answer is noticed no later than from a store that is fast.
 */
final class PollPatience {
    private static final long MIN_MILLIS = 500;
    private static final int DELAY_FACTOR = 4;
    private static final long MIN_HOLD_MILLIS = 500;

    private final long mMaxMillis;
    private long mMillis = MIN_MILLIS;

    PollPatience(long maxMillis) {
        mMaxMillis = maxMillis;
    }

    /** Returns how long the answer is waited for beyond the hold, in milliseconds. */
    long millis() {
        return mMillis;
    }

    /**
     * Returns for how long the store is to hold a poll.
     *
     * @param waitMillis time for which it may hold one while it is fast, in milliseconds
     */
    long holdMillis(long waitMillis) {
        return Math.max(Math.min(waitMillis, MIN_HOLD_MILLIS), waitMillis + MIN_MILLIS - mMillis);
    }

    /**
     * Records an answer.
     *
     * @param lateMillis time from the end of the hold to the answer, in milliseconds; negative if a
     *     change ended the hold early
     */
    void answered(long lateMillis) {
        mMillis = Math.clamp(lateMillis * DELAY_FACTOR, MIN_MILLIS, mMaxMillis);
    }

    /** Records that there was no answer in time. */
    void unanswered() {
        mMillis = Math.min(2 * mMillis, mMaxMillis);
    }
}
