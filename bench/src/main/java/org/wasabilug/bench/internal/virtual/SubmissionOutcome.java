package org.wasabilug.bench.internal.virtual;

/** Arrival, deadline and answer time of one submitted request. */
final class SubmissionOutcome {
    private final long mArrivedNanos;
    private final long mDeadlineNanos;
    private long mAnsweredNanos = Long.MAX_VALUE;

    SubmissionOutcome(long arrivedNanos, long deadlineNanos) {
        mArrivedNanos = arrivedNanos;
        mDeadlineNanos = deadlineNanos;
    }

    void recordAnswer(long atNanos) {
        mAnsweredNanos = atNanos;
    }

    boolean arrivedWithin(long fromNanos, long untilNanos) {
        return mArrivedNanos >= fromNanos && mArrivedNanos < untilNanos;
    }

    boolean isAnsweredInTime() {
        return mAnsweredNanos <= mDeadlineNanos;
    }

    boolean isAnsweredInTimeWithin(long fromNanos, long untilNanos) {
        return isAnsweredInTime() && mAnsweredNanos >= fromNanos && mAnsweredNanos < untilNanos;
    }
}
