package org.wasabilug.internal.rollout;

import org.wasabilug.internal.rollout.VersionAnalysis.Finding;

/** Adds the counts of all instances and judges the version by them. */
final class RolloutJudge {
    private final OwnTraffic mTraffic;
    private final PeerReports mPeers = new PeerReports();
    private final VerdictTracker mTracker = new VerdictTracker();
    private final VerdictTracker mOwnTracker = new VerdictTracker();
    private Finding mFinding = Finding.FINE;
    private boolean mOwnBad;

    RolloutJudge(OwnTraffic traffic) {
        mTraffic = traffic;
    }

    PeerReports peers() {
        return mPeers;
    }

    /** Returns what the last judgement found. */
    Finding finding() {
        return mFinding;
    }

    /** Returns whether the responses that this instance got itself look bad. */
    boolean ownBad() {
        return mOwnBad;
    }

    /**
     * Judges by the present counts.
     *
     * @param moved whether the version gets all traffic
     * @param elapsedMillis time since the order
     * @param durationMillis time from the order to the deadline
     * @param nowMillis current monotonic time, in milliseconds
     */
    RolloutVerdict judge(boolean moved, long elapsedMillis, long durationMillis, long nowMillis) {
        OutcomeCounts candidate = mTraffic.candidate();
        OutcomeCounts baseline = mTraffic.baseline();
        mOwnBad =
                mOwnTracker.compare(candidate.copy(), baseline.copy(), moved, nowMillis)
                        == Finding.BAD;
        mPeers.addTo(candidate, baseline);
        mFinding = mTracker.compare(candidate, baseline, moved, nowMillis);
        if (mFinding == Finding.BAD) {
            return RolloutVerdict.BAD;
        }
        boolean good =
                mFinding == Finding.FINE
                        && VerdictTracker.suffice(
                                candidate, baseline, elapsedMillis, durationMillis);
        return good ? RolloutVerdict.GOOD : RolloutVerdict.UNDECIDED;
    }

    Rollout.Figures figures() {
        OutcomeCounts candidate = mTraffic.candidate();
        OutcomeCounts baseline = mTraffic.baseline();
        mPeers.addTo(candidate, baseline);
        return new Rollout.Figures(
                candidate.ended(), candidate.failed(), baseline.ended(), baseline.failed());
    }
}
