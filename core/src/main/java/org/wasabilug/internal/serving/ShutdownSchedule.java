package org.wasabilug.internal.serving;

/** Schedule of a graceful shutdown, from the stop signal to the forced kill. */
public final class ShutdownSchedule {
    /** Time within which two consecutive readiness checks find the instance not ready. */
    private static final long LEAVE_ROTATION_MILLIS = 2_600;

    /** Divisor of the grace period; requests that still run in its last part are cancelled. */
    private static final int CANCELLATION_DIVISOR = 7;

    private final long mLeftRotationMillis;
    private final long mEndMillis;

    /**
     * Creates the schedule.
     *
     * @param signalMillis monotonic time of the stop signal, in milliseconds
     * @param graceMillis time from the stop signal to the kill, in milliseconds
     */
    public ShutdownSchedule(long signalMillis, long graceMillis) {
        mLeftRotationMillis = signalMillis + Math.min(LEAVE_ROTATION_MILLIS, graceMillis / 2);
        mEndMillis = signalMillis + graceMillis - graceMillis / CANCELLATION_DIVISOR;
    }

    /**
     * Returns whether callers have had time to notice that this instance is no longer ready. From
     * then on, only callers with open connections still send requests.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public boolean leftRotation(long nowMillis) {
        return nowMillis >= mLeftRotationMillis;
    }

    /**
     * Returns whether a new request may start. Once callers have had time to switch to other
     * instances, only requests that are certain to end before the process does may start.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @param answerByMillis monotonic time, in milliseconds, by which the request is answered
     * @return false if the request should be refused
     */
    public boolean mayStart(long nowMillis, long answerByMillis) {
        return !leftRotation(nowMillis) || answerByMillis <= mEndMillis;
    }

    /**
     * Returns whether requests that still run must be cancelled.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public boolean mustCancelRequests(long nowMillis) {
        return nowMillis >= mEndMillis;
    }
}
