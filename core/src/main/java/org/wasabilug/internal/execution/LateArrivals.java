package org.wasabilug.internal.execution;

/**
 * Lets a few of the requests start that learned times count as too late. Where all were refused,
 * nothing would show that stages have become faster.
 */
final class LateArrivals {
    private static final int TRIAL_EVERY = 10;
    private static final long LONGEST_GAP_NANOS = 1_000_000_000L;

    private int mRefused;
    private long mLastNanos;
    private boolean mAny;

    /** Tells whether a request that seems to be late is to be tried all the same. */
    boolean isTrial(long nowNanos) {
        mRefused++;
        boolean due = !mAny || nowNanos - mLastNanos >= LONGEST_GAP_NANOS;
        if (!due && mRefused < TRIAL_EVERY) {
            return false;
        }
        mAny = true;
        mRefused = 0;
        mLastNanos = nowNanos;
        return true;
    }
}
