package org.wasabilug.gateway.internal;

/**
 * Notices that this process stood still, as on a machine that freezes. What happened meanwhile is
 * seen late, and what is seen then may have come about since.
 */
public final class StandstillMonitor {
    /** Shorter than an endpoint that crashes takes to be back. */
    private static final long STANDSTILL_MILLIS = 1_000;

    /** What has arrived meanwhile is read within this. */
    private static final long CATCH_UP_MILLIS = 500;

    private long mRanMillis;
    private long mCaughtUpMillis;

    /**
     * Creates a monitor of a process that has just started.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public StandstillMonitor(long nowMillis) {
        mRanMillis = nowMillis;
        mCaughtUpMillis = nowMillis;
    }

    /**
     * Records that the process runs; to be called several times a second.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void runs(long nowMillis) {
        if (nowMillis - mRanMillis >= STANDSTILL_MILLIS) {
            mCaughtUpMillis = nowMillis + CATCH_UP_MILLIS;
        }
        mRanMillis = nowMillis;
    }

    /**
     * Returns whether the process stood still just before.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public boolean stoodStill(long nowMillis) {
        return nowMillis - mRanMillis >= STANDSTILL_MILLIS || nowMillis < mCaughtUpMillis;
    }
}
