package org.wasabilug.internal.grant;

/**
 * How long a report proves that an endpoint is warm: for several rounds of reports, so that one
 * lost report does not take a busy endpoint away.
 */
final class ProofValidity {
    private static final int ROUNDS = 3;

    private final long mLeastNanos;
    private long mRoundNanos;

    ProofValidity(GrantSettings settings) {
        mLeastNanos = settings.proofValidity().toNanos();
    }

    /** Notes how often every watched endpoint is asked for a report. */
    void reportsEvery(long roundNanos) {
        mRoundNanos = roundNanos;
    }

    long nanos() {
        return Math.max(mLeastNanos, ROUNDS * mRoundNanos);
    }
}
