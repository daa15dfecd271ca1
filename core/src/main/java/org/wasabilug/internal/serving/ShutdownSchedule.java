package org.wasabilug.internal.serving;

/** Times of one orderly stop, from the stop signal to the kill. */
public final class ShutdownSchedule {
    /** Checks that find the instance not ready twice come within this time. */
    private static final long LEAVE_ROTATION_MILLIS = 2_600;

    /** Part of the time at whose begin requests still under way are given up. */
    private static final int CLOSING_PART = 7;

    private final long mLeftMillis;
    private final long mEndMillis;

    /**
     * Makes the schedule of a stop.
     *
     * @param signalMillis when the stop signal came
     * @param graceMillis time from there to the kill
     */
    public ShutdownSchedule(long signalMillis, long graceMillis) {
        mLeftMillis = signalMillis + Math.min(LEAVE_ROTATION_MILLIS, graceMillis / 2);
        mEndMillis = signalMillis + graceMillis - graceMillis / CLOSING_PART;
    }

    /**
     * Tells whether callers had time to see that this instance is not ready any more.
     *
     * @param nowMillis now
     * @return true where only callers with open connections still send requests
     */
    public boolean leftRotation(long nowMillis) {
        return nowMillis >= mLeftMillis;
    }

    /**
     * Tells whether a request may still be begun. Once callers could have gone elsewhere, only one
     * that surely ends before the process does.
     *
     * @param nowMillis now
     * @param answerByMillis when the request has its answer at the latest
     * @return false where it is better refused
     */
    public boolean mayStart(long nowMillis, long answerByMillis) {
        return !leftRotation(nowMillis) || answerByMillis <= mEndMillis;
    }

    /**
     * Tells whether what is still under way is given up.
     *
     * @param nowMillis now
     * @return true at the end
     */
    public boolean isGracePeriodOver(long nowMillis) {
        return nowMillis >= mEndMillis;
    }
}
