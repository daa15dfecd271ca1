package org.wasabilug.internal.grant;

/**
 * How long a report proves that an endpoint is warm: for several rounds of reports, so that one
 * lost report does not take a busy endpoint away.
 */
final class ProofValidity {
    private static final int ROUNDS = 3;

    private final long mMinimumNanos;
    private long mRoundNanos;

    ProofValidity(GrantSettings settings) {
        mMinimumNanos = settings.proofValidity().toNanos();
    }

    /** Notes how often every watched endpoint is asked for a report. */
    void setReportInterval(long roundNanos) {
        mRoundNanos = roundNanos;
    }

    long nanos() {
        return Math.max(mMinimumNanos, ROUNDS * mRoundNanos);
    }
}
