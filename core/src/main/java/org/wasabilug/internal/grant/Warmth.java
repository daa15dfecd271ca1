package org.wasabilug.internal.grant;

import org.wasabilug.model.Endpoint;
import org.wasabilug.port.LoadReport;

/**
 * Whether an endpoint is proven warm. It is cold until a report of its present life says otherwise,
 * and cold again from the first evidence of a restart on; a report that may be older than the
 * evidence proves nothing.
 */
final class Warmth {
    /** A report may have been on its way for this long beyond its stated age. */
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

    /** Calls sent while the endpoint passed for warm may run until then. */
    private long mDrainUntilNanos = NEVER;

    /** Until then another instance may not have heard that the endpoint turned cold. */
    private long mColdKnownToAllNanos = NEVER;

    Warmth(GrantSettings settings, ProofValidity validity) {
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
     * True while calls of other instances may be left over from before the endpoint turned cold.
     */
    boolean isDraining(long nowNanos) {
        return nowNanos < mDrainUntilNanos;
    }

    /** Notes that the endpoint may have restarted. */
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

    /** Takes a report; {@code ownCalls} are the calls of this instance in flight there. */
    void recordLoadReport(LoadReport report, int ownCalls, long nowNanos) {
        long sampleNanos = nowNanos - report.ageMilliseconds() * 1_000_000;
        if (sampleNanos < mSampleNanos) {
            return;
        }
        mSampleNanos = sampleNanos;
        boolean otherLife = mGenerationKnown && report.generation() != mGeneration;
        boolean fresh = otherLife || sampleNanos - TRANSIT_NANOS > mRestartEvidenceNanos;
        mGeneration = report.generation();
        mGenerationKnown = true;
        if (otherLife) {
            // Instances without evidence may have sent calls to the new life already.
            markCold(nowNanos);
        }
        if (report.cold()) {
            markCold(nowNanos);
            endDrainIfIdle(report, fresh, ownCalls, nowNanos);
        } else if (fresh) {
            markWarm(nowNanos);
        }
    }

    private void endDrainIfIdle(LoadReport report, boolean fresh, int ownCalls, long nowNanos) {
        boolean heardByAll = nowNanos >= mColdKnownToAllNanos;
        if (heardByAll && fresh && report.inFlight() + report.queued() <= ownCalls) {
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

    /** Most calls of one instance at a warm endpoint, which doubles in steps after a cold start. */
    int warmAllowance(Endpoint endpoint, long nowNanos) {
        long doublings = (nowNanos - mWarmSinceNanos) / mSettings.rampStep().toNanos();
        if (doublings >= MAXIMUM_DOUBLINGS) {
            return ColdStartGate.UNLIMITED;
        }
        int allowance = Math.max(1, endpoint.coldLimit()) << doublings;
        return allowance >= endpoint.concurrencyLimit() ? ColdStartGate.UNLIMITED : allowance;
    }
}
