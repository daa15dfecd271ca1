package org.wasabilug.internal.rollout;

/** Times of one rollout by the monotonic clock of this instance, in milliseconds. */
final class RolloutClock {
    /**
     * Time before the deadline at which the final state is due. The requirements count with a store
     * that is unstable for 5 to 6 s, and the next writers need time after a failed one.
     */
    private static final long FINAL_STATE_MARGIN_MILLIS = 8_000;

    private static final double MAX_FINAL_STATE_MARGIN_PART = 0.1;

    /** Part of the time left at the verdict for requests that are bound to the old version. */
    private static final double BOUND_PART = 0.25;

    /** Part of the time left at the verdict for which the version is watched with all traffic. */
    private static final double WATCHED_PART = 0.5;

    /** Time in which an instance that hears no peers surely reads the status. */
    static final long STATUS_READ_MILLIS = 5_000;

    /** Time after the deadline by which an instance that hears anything knows the end. */
    private static final long END_KNOWN_MILLIS = 10_000;

    private final long mStartMillis;
    private final long mDurationMillis;
    private long mDeadlineMillis;
    private long mGoodMillis;
    private long mMovingMillis = Long.MAX_VALUE;
    private RolloutTiming mTiming = new RolloutTiming(0, 0);

    RolloutClock(long startMillis, long durationMillis) {
        mStartMillis = startMillis;
        mDurationMillis = durationMillis;
        mDeadlineMillis = startMillis + durationMillis;
    }

    void timing(RolloutTiming timing) {
        mTiming = timing;
    }

    /** Records when the version was judged good. */
    void good(long nowMillis) {
        mGoodMillis = nowMillis;
    }

    /** Records that the store tells all instances that the traffic moves. */
    void moving(long nowMillis) {
        mMovingMillis = Math.min(mMovingMillis, nowMillis);
    }

    /** Forgets what the store has told. */
    void storeLost() {
        mMovingMillis = Long.MAX_VALUE;
    }

    /** An instance that started halfway learns the deadline from the store. */
    void limitDeadline(long deadlineMillis) {
        mDeadlineMillis = Math.min(mDeadlineMillis, deadlineMillis);
    }

    long deadlineMillis() {
        return mDeadlineMillis;
    }

    long elapsedMillis(long nowMillis) {
        return nowMillis - mStartMillis;
    }

    /** Returns whether the rollout has surely ended, whatever this instance has heard. */
    boolean surelyEnded(long nowMillis) {
        return nowMillis >= mDeadlineMillis + END_KNOWN_MILLIS;
    }

    /** Returns whether the final state is to be written now, whatever it is. */
    boolean finalStateDue(long nowMillis) {
        return nowMillis >= finalStateDueMillis();
    }

    private long finalStateDueMillis() {
        double part = MAX_FINAL_STATE_MARGIN_PART * mDurationMillis;
        return mDeadlineMillis - (long) Math.min(FINAL_STATE_MARGIN_MILLIS, part);
    }

    /** Returns whether the version has been watched for long enough with all traffic. */
    boolean watched(long nowMillis) {
        double left = Math.max(0, finalStateDueMillis() - mGoodMillis);
        return nowMillis >= mGoodMillis + (long) (WATCHED_PART * left);
    }

    /** Returns whether requests that are bound to the old version may still be sent to it. */
    boolean mayFollowToOld(long nowMillis) {
        return nowMillis < mGoodMillis + boundMillis();
    }

    private long boundMillis() {
        double part = BOUND_PART * Math.max(0, mDeadlineMillis - mGoodMillis);
        return (long) Math.min(part, mTiming.longestRequestMillis());
    }

    /** Returns whether endpoints of the old version may hold results that are still in use. */
    boolean resultsInUse(long usedMillis, long nowMillis) {
        return nowMillis < usedMillis + mTiming.resultMillis();
    }

    /**
     * Returns whether an instance that is not heard and reads the status has stopped using the old
     * version.
     */
    boolean unheardDrained(long nowMillis) {
        long needed =
                STATUS_READ_MILLIS
                        + boundMillis()
                        + mTiming.longestRequestMillis()
                        + mTiming.resultMillis();
        return mMovingMillis != Long.MAX_VALUE && nowMillis - mMovingMillis >= needed;
    }
}
