package org.wasabilug.internal.limit;

import org.wasabilug.model.Workspace;
import org.wasabilug.port.WorkspaceUsage;

/** One active workspace's use of its limits at this instance. */
final class WorkspaceAccount {
    private static final double BURST_SECONDS = 1;

    private final TokenBucket mBucket;
    private final SmoothedRate mRate = new SmoothedRate();
    private final GrowingAllowance mRateAllowance;
    private final GrowingAllowance mConcurrencyAllowance;
    private int mConcurrencyLimit;
    private int mInFlight;
    private long mRefreshedNanos;
    private long mUsedNanos;

    WorkspaceAccount(Workspace workspace, int instances, long nowNanos) {
        double rate = workspace.requestsPerSecond() / instances;
        double concurrency = (double) workspace.concurrentRequests() / instances;
        mBucket = new TokenBucket(rate, capacity(rate), nowNanos);
        mRateAllowance = new GrowingAllowance(rate, nowNanos);
        mConcurrencyAllowance = new GrowingAllowance(concurrency, nowNanos);
        mConcurrencyLimit = wholeCalls(concurrency);
        mRefreshedNanos = nowNanos;
        mUsedNanos = nowNanos;
    }

    private static double capacity(double rate) {
        return Math.max(1, rate * BURST_SECONDS);
    }

    private static int wholeCalls(double concurrency) {
        return (int) Math.max(1, Math.floor(concurrency));
    }

    void refresh(ShareTargets targets, long exchangeNanos, long nowNanos) {
        mRefreshedNanos = nowNanos;
        double rate =
                mRateAllowance.moveTowards(
                        targets.rate(),
                        targets.equalRate(),
                        exchangeNanos,
                        targets.heardNanos(),
                        nowNanos);
        mBucket.change(rate, capacity(rate), nowNanos);
        mConcurrencyLimit =
                wholeCalls(
                        mConcurrencyAllowance.moveTowards(
                                targets.concurrency(),
                                targets.equalConcurrency(),
                                exchangeNanos,
                                targets.heardNanos(),
                                nowNanos));
    }

    AdmissionDecision admit(long concurrencyRetryNanos, long nowNanos) {
        mUsedNanos = nowNanos;
        if (mInFlight >= mConcurrencyLimit) {
            return new AdmissionDecision.OverLimit("concurrentRequests", concurrencyRetryNanos);
        }
        if (!mBucket.tryTake(nowNanos)) {
            return new AdmissionDecision.OverLimit("requestsPerSecond", mBucket.waitNanos());
        }
        mInFlight++;
        mRate.count(nowNanos);
        return new AdmissionDecision.Admitted();
    }

    void release(long nowNanos) {
        mInFlight = Math.max(0, mInFlight - 1);
        mUsedNanos = nowNanos;
    }

    long refreshedNanos() {
        return mRefreshedNanos;
    }

    boolean isIdle(long idleNanos, long nowNanos) {
        return mInFlight == 0 && nowNanos - mUsedNanos >= idleNanos;
    }

    WorkspaceUsage usage(long nowNanos) {
        return new WorkspaceUsage(mInFlight, mRate.perSecond(nowNanos));
    }
}
