package org.wasabilug.internal.grant;

import org.wasabilug.model.Endpoint;
import org.wasabilug.port.LoadReport;

/**
 * Tracks whether an endpoint is proven warm. An endpoint counts as cold until a report of its
 * current generation proves it warm, and again from the first evidence of a restart. A report that
 * may have been sampled before that evidence does not prove it warm.
 */
final class WarmState {
    /** Maximum network delay of a report, which its stated age does not include. */
    private static final long TRANSIT_NANOS = 500_000_000L;

    private static final long NEVER = Long.MIN_VALUE / 2;
    private static final int MAXIMUM_DOUBLINGS = 10;

    private final GrantSettings mSettings;
    private final ProofValidity mValidity;
    private long mGeneration;
    private boolean mGenerationKnown;
    private boolean mWarm;
    private boolean mSeenCold;
    private long mWarmProofNanos = NEVER;
    private long mWarmSinceNanos = NEVER;
    private long mSampleNanos = NEVER;
    private long mRestartEvidenceNanos = NEVER;

    /** Time until which calls sent while the endpoint counted as warm may still run. */
    private long mDrainUntilNanos = NEVER;

    /** Time until which another instance may still count the endpoint as warm. */
    private long mColdKnownToAllNanos = NEVER;

    WarmState(GrantSettings settings, ProofValidity validity) {
        mSettings = settings;
        mValidity = validity;
    }

    long generation() {
        return mGeneration;
    }

    boolean isWarm(long nowNanos) {
        return mWarm && nowNanos - mWarmProofNanos <= mValidity.nanos();
    }

    /**
     * Returns whether calls of other instances from before the endpoint turned cold may still run.
     */
    boolean isDraining(long nowNanos) {
        return nowNanos < mDrainUntilNanos;
    }

    /** Records evidence that the endpoint may have restarted. */
    void recordPossibleRestart(long nowNanos) {
        mRestartEvidenceNanos = nowNanos;
        markCold(nowNanos);
    }

    private void markCold(long nowNanos) {
        if (mWarm) {
            mDrainUntilNanos = nowNanos + mSettings.maximumCall().toNanos();
            mColdKnownToAllNanos = nowNanos + mValidity.nanos();
        }
        mWarm = false;
        mSeenCold = true;
    }

    /**
     * Records a load report.
     *
     * @param localCalls number of calls of this instance in flight at the endpoint
     */
    void recordLoadReport(LoadReport report, int localCalls, long nowNanos) {
        long sampleNanos = nowNanos - report.ageMilliseconds() * 1_000_000;
        if (sampleNanos < mSampleNanos) {
            return;
        }
        mSampleNanos = sampleNanos;
        boolean otherGeneration = mGenerationKnown && report.generation() != mGeneration;
        boolean fresh = otherGeneration || sampleNanos - TRANSIT_NANOS > mRestartEvidenceNanos;
        mGeneration = report.generation();
        mGenerationKnown = true;
        if (otherGeneration) {
            // Instances without evidence of the restart may already have sent calls to the new
            // generation.
            markCold(nowNanos);
        }
        if (report.cold()) {
            markCold(nowNanos);
            endDrainIfIdle(report, fresh, localCalls, nowNanos);
        } else if (fresh) {
            markWarm(nowNanos);
        }
    }

    private void endDrainIfIdle(LoadReport report, boolean fresh, int localCalls, long nowNanos) {
        boolean coldKnownToAll = nowNanos >= mColdKnownToAllNanos;
        if (coldKnownToAll && fresh && report.inFlight() + report.queued() <= localCalls) {
            mDrainUntilNanos = NEVER;
        }
    }

    private void markWarm(long nowNanos) {
        if (!mWarm) {
            mWarmSinceNanos = mSeenCold ? nowNanos : NEVER;
        }
        mWarm = true;
        mWarmProofNanos = nowNanos;
    }

    /**
     * Returns the maximum number of calls of one instance at a warm endpoint. After a cold start it
     * doubles with each ramp step until it reaches the concurrency limit.
     */
    int warmAllowance(Endpoint endpoint, long nowNanos) {
        long doublings = (nowNanos - mWarmSinceNanos) / mSettings.rampStep().toNanos();
        if (doublings >= MAXIMUM_DOUBLINGS) {
            return ColdStartGate.UNLIMITED;
        }
        int allowance = Math.max(1, endpoint.coldLimit()) << doublings;
        return allowance >= endpoint.concurrencyLimit() ? ColdStartGate.UNLIMITED : allowance;
    }
}
