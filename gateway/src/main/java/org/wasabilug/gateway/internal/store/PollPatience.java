package org.wasabilug.gateway.internal.store;

/**
 * How long the answer to a poll is waited for beyond the time for which the store holds the poll.
 *
 * <p>A lost answer is noticed only then, so it is short, and a multiple of how late answers are. It
 * grows while there are none, as the store may be slow.
 */
final class PollPatience {
    private static final long MIN_MILLIS = 500;
    private static final int DELAY_FACTOR = 4;

    private final long mMaxMillis;
    private long mMillis = MIN_MILLIS;

    PollPatience(long maxMillis) {
        mMaxMillis = maxMillis;
    }

    /** Returns the time in milliseconds. */
    long millis() {
        return mMillis;
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
