package org.wasabilug.internal.grant;

/**
 * The time for which a report proves that an endpoint is warm. It spans several report intervals so
 * that one lost report does not make a busy endpoint count as cold.
 */
final class ProofValidity {
    private static final int ROUNDS = 3;

    private final long mMinimumNanos;
    private long mRoundNanos;

    ProofValidity(GrantSettings settings) {
        mMinimumNanos = settings.proofValidity().toNanos();
    }

    /** Sets the interval at which every watched endpoint is polled for a report. */
    void setReportInterval(long roundNanos) {
        mRoundNanos = roundNanos;
    }

    long nanos() {
        return Math.max(mMinimumNanos, ROUNDS * mRoundNanos);
    }
}
