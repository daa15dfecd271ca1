package org.wasabilug.internal.execution;

/**
 * Admits a few of the requests whose estimated run time exceeds their deadline. If all were
 * refused, no new sample could show that stages have become faster.
 */
final class LateRequestTrials {
    private static final int TRIAL_EVERY = 10;
    private static final long TRIAL_INTERVAL_NANOS = 1_000_000_000L;

    private int mRefusedSinceTrial;
    private long mLastTrialNanos;
    private boolean mHadTrial;

    /** Returns whether to admit the current request although it is expected to be late. */
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
