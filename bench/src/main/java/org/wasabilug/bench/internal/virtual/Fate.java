package org.wasabilug.bench.internal.virtual;

/** What became of one submission. */
final class Fate {
    private final long mArrivedNanos;
    private final long mDeadlineNanos;
    private long mAnsweredNanos = Long.MAX_VALUE;

    Fate(long arrivedNanos, long deadlineNanos) {
        mArrivedNanos = arrivedNanos;
        mDeadlineNanos = deadlineNanos;
    }

    void answered(long atNanos) {
        mAnsweredNanos = atNanos;
    }

    boolean arrivedIn(long fromNanos, long untilNanos) {
        return mArrivedNanos >= fromNanos && mArrivedNanos < untilNanos;
    }

    boolean isInTime() {
        return mAnsweredNanos <= mDeadlineNanos;
    }

    boolean isInTimeIn(long fromNanos, long untilNanos) {
        return isInTime() && mAnsweredNanos >= fromNanos && mAnsweredNanos < untilNanos;
    }
}
