package org.wasabilug.gateway.internal.caller;

/** Since when a connection waits for what, in milliseconds of the clock for time limits. */
final class CallerTimes {
    private static final long NEVER = Long.MAX_VALUE;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final int mMinBytesPerSecond;
    private long mActiveMillis;
    private long mHeadMillis = NEVER;
    private long mBodyMillis;
    private int mBodyBytes;
    private long mUnsentBytes;
    private long mUnsentMillis;

    CallerTimes(int minBytesPerSecond, long nowMillis) {
        mMinBytesPerSecond = minBytesPerSecond;
        mActiveMillis = nowMillis;
    }

    /** Called when a response is complete; a body behind it may not have been sent before. */
    void active(long nowMillis) {
        mActiveMillis = nowMillis;
        mBodyMillis = nowMillis;
    }

    void headReceived(long nowMillis) {
        active(nowMillis);
        mHeadMillis = NEVER;
        mBodyBytes = 0;
    }

    void bodyReceived(int bytes, long nowMillis) {
        mBodyBytes = bytes;
        mActiveMillis = nowMillis;
    }

    /**
     * Looks at the connection; to be called several times a second.
     *
     * @param partialHead whether a part of a head has arrived and nothing is served
     * @param unsentBytes what was written and not sent yet
     */
    void check(long nowMillis, boolean partialHead, long unsentBytes) {
        if (!partialHead) {
            mHeadMillis = NEVER;
        } else if (mHeadMillis == NEVER) {
            mHeadMillis = nowMillis;
        }
        if (unsentBytes < mUnsentBytes) {
            mActiveMillis = nowMillis;
        }
        if (unsentBytes < mUnsentBytes || mUnsentBytes == 0) {
            mUnsentMillis = nowMillis;
        }
        mUnsentBytes = unsentBytes;
    }

    boolean headLate(long nowMillis, long maxMillis) {
        return mHeadMillis != NEVER && nowMillis - mHeadMillis > maxMillis;
    }

    /** Returns whether the body has stopped, or has not kept the rate since the allowed time. */
    boolean bodyLate(long nowMillis, long allowedMillis) {
        long lateMillis = nowMillis - mBodyMillis - allowedMillis;
        long stoppedMillis = nowMillis - Math.max(mActiveMillis, mBodyMillis);
        return stoppedMillis > allowedMillis
                || lateMillis > 0
                        && mBodyBytes * MILLIS_PER_SECOND < lateMillis * mMinBytesPerSecond;
    }

    /** Returns whether nothing of a response was read for so long. */
    boolean unread(long nowMillis, long maxMillis) {
        return mUnsentBytes > 0 && nowMillis - mUnsentMillis > maxMillis;
    }

    boolean inactive(long nowMillis, long maxMillis) {
        return nowMillis - mActiveMillis > maxMillis;
    }

    long sinceMillis() {
        return mActiveMillis;
    }
}
