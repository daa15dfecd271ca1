package org.wasabilug.internal.routing;

import org.wasabilug.port.LoadReport;

/**
 * Load of an endpoint from all instances: own calls as they are now, and the others' as the last
 * report told them.
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
        long takenNanos = nowNanos - report.ageMilliseconds() * 1_000_000L;
        if (mHasReport && takenNanos < mReportedNanos) {
            return;
        }
        mHasReport = true;
        mReportedNanos = takenNanos;
        mReported = report.inFlight() + report.queued();
        mOthers = Math.max(0, mReported - mLocal.at(takenNanos));
    }

    /** Takes a refusal for lack of room as the newest report: the others fill the limit. */
    void applyRefusal(double limit, long nowNanos) {
        mHasReport = true;
        mReportedNanos = nowNanos;
        mOthers = Math.max(mOthers, (int) Math.ceil(limit) - mLocal.current());
    }

    boolean isFresh(long nowNanos) {
        return mHasReport && nowNanos - mReportedNanos <= mExpiryNanos;
    }

    /** Own calls plus the others' last known ones, which fade as the report grows old. */
    double total(long nowNanos) {
        if (!mHasReport) {
            return mLocal.current();
        }
        double age = Math.max(0, nowNanos - mReportedNanos);
        double trust = Math.max(0, 1 - age / mExpiryNanos);
        return mLocal.current() + mOthers * trust;
    }

    /** Last report as it came. */
    int reported() {
        return mReported;
    }
}
