package org.wasabilug.internal.execution;

/**
 * Lets a few of the requests start that learned times count as too late. Where all were refused,
 * nothing would show that stages have become faster.
 */
final class LateRequestTrials {
    private static final int TRIAL_EVERY = 10;
    private static final long TRIAL_INTERVAL_NANOS = 1_000_000_000L;

    private int mRefusedSinceTrial;
    private long mLastTrialNanos;
    private boolean mHadTrial;

    /** Tells whether a request that seems to be late is to be tried all the same. */
    boolean admitTrial(long nowNanos) {
        mRefusedSinceTrial++;
        boolean due = !mHadTrial || nowNanos - mLastTrialNanos >= TRIAL_INTERVAL_NANOS;
        if (!due && mRefusedSinceTrial < TRIAL_EVERY) {
            return false;
        }
        mHadTrial = true;
        mRefusedSinceTrial = 0;
        mLastTrialNanos = nowNanos;
        return true;
    }
}
