package org.wasabilug.internal.routing;

import org.wasabilug.port.LoadReport;

/**
 * Load of an endpoint from all instances: own calls as they are now, and the others' as the last
 * report told them.
 */
final class LoadEstimate {
    private final LoadHistory mOwn = new LoadHistory();
    private final long mExpiryNanos;
    private int mOthers;
    private int mReported;
    private boolean mHeard;
    private long mReportedNanos;

    LoadEstimate(long expiryNanos) {
        mExpiryNanos = expiryNanos;
    }

    void changeOwn(int difference, long nowNanos) {
        mOwn.change(difference, nowNanos);
    }

    int own() {
        return mOwn.now();
    }

    void report(LoadReport report, long nowNanos) {
        long takenNanos = nowNanos - report.ageMilliseconds() * 1_000_000L;
        if (mHeard && takenNanos < mReportedNanos) {
            return;
        }
        mHeard = true;
        mReportedNanos = takenNanos;
        mReported = report.inFlight() + report.queued();
        mOthers = Math.max(0, mReported - mOwn.at(takenNanos));
    }

    /** Takes a refusal for lack of room as the newest report: the others fill the limit. */
    void refused(double limit, long nowNanos) {
        mHeard = true;
        mReportedNanos = nowNanos;
        mOthers = Math.max(mOthers, (int) Math.ceil(limit) - mOwn.now());
    }

    boolean isFresh(long nowNanos) {
        return mHeard && nowNanos - mReportedNanos <= mExpiryNanos;
    }

    /** Own calls plus the others' last known ones, which fade as the report grows old. */
    double total(long nowNanos) {
        if (!mHeard) {
            return mOwn.now();
        }
        double age = Math.max(0, nowNanos - mReportedNanos);
        double trust = Math.max(0, 1 - age / mExpiryNanos);
        return mOwn.now() + mOthers * trust;
    }

    /** Last report as it came. */
    int reported() {
        return mReported;
    }
}
