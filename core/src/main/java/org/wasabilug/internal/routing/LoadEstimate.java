package org.wasabilug.internal.routing;

import org.wasabilug.port.LoadReport;

/**
 * Estimated load of an endpoint from all instances: the current calls of this instance, and the
 * calls of other instances as of the last report.
 */
final class LoadEstimate {
    private final LoadHistory mLocal = new LoadHistory();
    private final long mExpiryNanos;
    private int mOthers;
    private int mReported;
    private boolean mHasReport;
    private long mReportedNanos;

    LoadEstimate(long expiryNanos) {
        mExpiryNanos = expiryNanos;
    }

    void changeLocal(int difference, long nowNanos) {
        mLocal.change(difference, nowNanos);
    }

    int local() {
        return mLocal.current();
    }

    void applyReport(LoadReport report, long nowNanos) {
        long measuredNanos = nowNanos - report.ageMilliseconds() * 1_000_000L;
        if (mHasReport && measuredNanos < mReportedNanos) {
            return;
        }
        mHasReport = true;
        mReportedNanos = measuredNanos;
        mReported = report.inFlight() + report.queued();
        mOthers = Math.max(0, mReported - mLocal.countAt(measuredNanos));
    }

    /**
     * Treats a refusal for lack of capacity as the newest report: other instances use the rest of
     * the limit.
     */
    void applyRefusal(double limit, long nowNanos) {
        mHasReport = true;
        mReportedNanos = nowNanos;
        mOthers = Math.max(mOthers, (int) Math.ceil(limit) - mLocal.current());
    }

    boolean isFresh(long nowNanos) {
        return mHasReport && nowNanos - mReportedNanos <= mExpiryNanos;
    }

    /**
     * Returns the calls of this instance plus the last known calls of others, weighted down as the
     * report ages.
     */
    double total(long nowNanos) {
        if (!mHasReport) {
            return mLocal.current();
        }
        double age = Math.max(0, nowNanos - mReportedNanos);
        double trust = Math.max(0, 1 - age / mExpiryNanos);
        return mLocal.current() + mOthers * trust;
    }

    /** Returns the load in the last report, unmodified. */
    int reported() {
        return mReported;
    }
}
