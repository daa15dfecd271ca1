package org.wasabilug.internal.rollout;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.wasabilug.internal.rollout.RolloutStatus.State;
import org.wasabilug.internal.rollout.VersionAnalysis.Finding;
import org.wasabilug.internal.serving.RolloutLimits;

/**
 * One order as seen by one instance: which versions its requests may go to, and which status is to
 * be written.
 *
 * <p>Until a version is judged good it gets a share of this instance's own requests. Once it is
 * good, requests prefer it, and for a while the old version is the fallback, also for streams that
 * can only be resumed there. After that the instance does not use the old version again unless the
 * new one turns bad.
 */
public final class Rollout {
    /** Time for which a verdict is still reported after a rollback, to peers that miss it. */
    private static final long REPORT_AFTER_END_MILLIS = 10_000;

    private RolloutOrder mOrder;
    private final OwnTraffic mTraffic;
    private final RolloutJudge mJudge;
    private final RolloutClock mClock;
    private final ServiceVersions mVersions;
    private Optional<RolloutStatus> mStatus = Optional.empty();
    private boolean mStatusLost;
    private boolean mStatusRead;
    private boolean mEndedAtPeer;
    private boolean mPaused;
    private int mBaselineRunning;
    private RolloutVerdict mVerdict = RolloutVerdict.UNDECIDED;
    private long mEndMillis;

    /** Versions to choose an endpoint from. */
    public enum Group {
        /** The version that is to get the traffic. */
        CANDIDATE,
        /** All other versions. */
        BASELINE
    }

    /**
     * Creates the state of a new order.
     *
     * @param order the order
     * @param limits limits for all instances together
     * @param presentAtOrder whether this instance ran when the order was given
     * @param nowMillis current monotonic time, in milliseconds
     */
    public Rollout(
            RolloutOrder order, RolloutLimits limits, boolean presentAtOrder, long nowMillis) {
        mOrder = order;
        mTraffic = new OwnTraffic(order, limits, presentAtOrder, nowMillis);
        mJudge = new RolloutJudge(mTraffic);
        mClock = new RolloutClock(nowMillis, order.durationMillis());
        mVersions = new ServiceVersions(order.softwareVersion());
    }

    /** Returns the order. */
    public RolloutOrder order() {
        return mOrder;
    }

    /**
     * Returns whether an order is this one, written again to a store that came back from an older
     * copy.
     *
     * @param order a later order for the same service
     */
    public boolean isRewrittenAs(RolloutOrder order) {
        return order.softwareVersion().equals(mOrder.softwareVersion())
                && order.durationMillis() == mOrder.durationMillis()
                && order.revision().era() > mOrder.revision().era();
    }

    /**
     * Goes on with the same order under another revision. The verdict and a final state stay, and
     * the status is written again if the store has lost it.
     *
     * @param order the order
     */
    public void rewritten(RolloutOrder order) {
        mOrder = order;
        mPaused = false;
        mStatusLost = end().isPresent();
        mStatus = mStatus.filter(each -> each.state().isFinal());
        mClock.storeLost();
    }

    /** Returns the requests of this instance. */
    public OwnTraffic traffic() {
        return mTraffic;
    }

    /** Returns the verdict. */
    public RolloutVerdict verdict() {
        return mVerdict;
    }

    /** Returns the deadline by the monotonic clock, in milliseconds. */
    public long deadlineMillis() {
        return mClock.deadlineMillis();
    }

    /** Returns the final state; empty while the rollout is running. */
    public Optional<State> end() {
        return mStatus.map(RolloutStatus::state).filter(State::isFinal);
    }

    /** Returns whether the rollout has ended and the store is not known to have lost that. */
    public boolean endRecorded() {
        return end().isPresent() && !mStatusLost;
    }

    /** Returns whether the rollout has ended with all traffic at the new version. */
    public boolean done() {
        return end().equals(Optional.of(State.DONE));
    }

    /**
     * Sets what is known of the service; to be called before each judgement.
     *
     * @param versions versions of its registered endpoints that accept requests
     * @param baselineRunning requests of this instance, also those from before the order, that run
     *     at endpoints of other versions
     * @param timing its times
     */
    public void service(Collection<String> versions, int baselineRunning, RolloutTiming timing) {
        mVersions.registered(versions);
        mBaselineRunning = baselineRunning;
        mClock.timing(timing);
        if (end().isEmpty()) {
            mVersions.addOld();
        }
    }

    /**
     * Returns whether a version belongs to a group.
     *
     * @param group the group
     * @param softwareVersion the version
     */
    public boolean contains(Group group, String softwareVersion) {
        boolean candidate =
                done()
                        ? !mVersions.isOld(softwareVersion)
                        : softwareVersion.equals(mOrder.softwareVersion());
        return candidate == (group == Group.CANDIDATE);
    }

    /**
     * Returns the groups that a request may go to, in order of preference.
     *
     * @param kind kind of the send
     * @param instances number of instances that share the slack
     * @param nowMillis current monotonic time, in milliseconds
     */
    public List<Group> groups(SendKind kind, int instances, long nowMillis) {
        if (done()) {
            return List.of(Group.CANDIDATE);
        }
        if (moved()) {
            return mClock.mayFollowToOld(nowMillis)
                    ? List.of(Group.CANDIDATE, Group.BASELINE)
                    : List.of(Group.CANDIDATE);
        }
        if (remainingExposure(kind, instances, nowMillis) < 1) {
            return endUnknown(nowMillis)
                    ? List.of(Group.BASELINE, Group.CANDIDATE)
                    : List.of(Group.BASELINE);
        }
        return kind == SendKind.FIRST
                ? List.of(Group.CANDIDATE, Group.BASELINE)
                : List.of(Group.BASELINE, Group.CANDIDATE);
    }

    /**
     * An instance that is cut off from all does not learn which version is left; it uses the new
     * one if it can't use the old one, unless that looked bad here.
     */
    private boolean endUnknown(long nowMillis) {
        return !mPaused
                && end().isEmpty()
                && mVerdict == RolloutVerdict.UNDECIDED
                && !mJudge.ownBad()
                && !mJudge.peers().anyHeard(nowMillis)
                && mClock.surelyEnded(nowMillis);
    }

    /**
     * Returns whether a service without usable endpoints in these groups is served by all others:
     * by the old versions after the end if no other is registered, and by the new version if it is
     * the only one that is left, unless it is about to be rolled back.
     */
    public boolean mayUseAny() {
        boolean candidateAllowed = end().isPresent() || mVerdict == RolloutVerdict.UNDECIDED;
        return done() && mVersions.onlyOldRegistered()
                || mVersions.onlyCandidateRegistered() && candidateAllowed;
    }

    /** Returns whether the version is judged good and all traffic goes there. */
    public boolean moved() {
        return mVerdict == RolloutVerdict.GOOD && !end().equals(Optional.of(State.ROLLED_BACK));
    }

    /**
     * Returns how many requests may go to the new version before it is judged.
     *
     * @param kind kind of the sends
     * @param instances number of instances that share the slack
     * @param nowMillis current monotonic time, in milliseconds
     */
    public double remainingExposure(SendKind kind, int instances, long nowMillis) {
        boolean exposed =
                statusKnown(nowMillis)
                        && end().isEmpty()
                        && mVerdict == RolloutVerdict.UNDECIDED
                        && !mJudge.ownBad()
                        && !mPaused
                        && nowMillis < mClock.deadlineMillis();
        return exposed ? mTraffic.remaining(kind, instances) : 0;
    }

    /** Peers are followed if the store does not answer. */
    private boolean statusKnown(long nowMillis) {
        return mStatusRead
                || mJudge.peers().anyReported()
                        && mClock.elapsedMillis(nowMillis) >= RolloutClock.STATUS_READ_MILLIS;
    }

    /**
     * Returns what this instance tells its peers; empty once the rollout has ended.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public Optional<InstanceReport> report(long nowMillis) {
        boolean over =
                mPaused
                        || end().isPresent()
                                && (done() || nowMillis - mEndMillis > REPORT_AFTER_END_MILLIS);
        return over ? Optional.empty() : Optional.of(ownReport(nowMillis));
    }

    private InstanceReport ownReport(long nowMillis) {
        OutcomeCounts counted = mTraffic.baseline();
        int running = Math.max(counted.running(), mBaselineRunning);
        OutcomeCounts baseline =
                new OutcomeCounts(
                        counted.sent(),
                        mayUseBaseline(nowMillis) ? running + 1 : running,
                        counted.cells());
        return new InstanceReport(mTraffic.requests(), mTraffic.candidate(), baseline, mVerdict);
    }

    /** Results that endpoints of the old version hold are in use until they expire. */
    private boolean mayUseBaseline(long nowMillis) {
        return !moved()
                || mClock.mayFollowToOld(nowMillis)
                || mClock.resultsInUse(mTraffic.baselineUsedMillis(), nowMillis);
    }

    /**
     * Applies what a peer reports about this order.
     *
     * @param peer name of the peer
     * @param report its report
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void reportReceived(String peer, InstanceReport report, long nowMillis) {
        mJudge.peers().received(peer, report, nowMillis);
        apply(report.verdict(), nowMillis);
    }

    /**
     * Records that a peer reports nothing about this order. If it did before, the rollout has ended
     * there.
     *
     * @param peer name of the peer
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void reportMissing(String peer, long nowMillis) {
        mEndedAtPeer |= mJudge.peers().notReported(peer, nowMillis);
    }

    private void apply(RolloutVerdict verdict, long nowMillis) {
        if (mPaused || end().isPresent() || mVerdict == RolloutVerdict.BAD) {
            return;
        }
        if (verdict == RolloutVerdict.BAD) {
            mVerdict = verdict;
        } else if (verdict == RolloutVerdict.GOOD && mVerdict == RolloutVerdict.UNDECIDED) {
            mVerdict = verdict;
            mClock.good(nowMillis);
        }
    }

    /**
     * Derives the verdict from the counts of all instances; to be called several times a second.
     *
     * @param fleet the other instances
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void judge(RolloutFleet fleet, long nowMillis) {
        if (mPaused || end().isPresent() || mVerdict == RolloutVerdict.BAD) {
            return;
        }
        RolloutVerdict verdict =
                mJudge.judge(
                        moved(),
                        mClock.elapsedMillis(nowMillis),
                        mOrder.durationMillis(),
                        nowMillis);
        if (moved() && mVersions.candidateGone()) {
            apply(RolloutVerdict.BAD, nowMillis);
        } else if (verdict != RolloutVerdict.GOOD || mayBecomeGood(fleet, nowMillis)) {
            apply(verdict, nowMillis);
        }
    }

    private boolean mayBecomeGood(RolloutFleet fleet, long nowMillis) {
        return !fleet.hearsNoOther()
                && mVersions.candidateRegistered()
                && statusKnown(nowMillis)
                && !mClock.finalStateDue(nowMillis);
    }

    /**
     * Counts behind the verdict, of all instances.
     *
     * @param responses responses and failures of the new version
     * @param failures failures of the new version
     * @param baselineResponses responses and failures of the old version
     * @param baselineFailures failures of the old version
     */
    public record Figures(
            long responses, long failures, long baselineResponses, long baselineFailures) {}

    /** Returns the counts behind the verdict. */
    public Figures figures() {
        return mJudge.figures();
    }

    /**
     * Applies the status that the store holds.
     *
     * @param status the status of this order; empty if there is none
     * @param storeMillis time of the store's clock, in milliseconds
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void statusRead(Optional<RolloutStatus> status, long storeMillis, long nowMillis) {
        mStatusRead = true;
        mEndedAtPeer = false;
        if (status.filter(each -> each.state().isFinal()).isPresent()) {
            mStatusLost = false;
        }
        if (mPaused || status.isEmpty() || end().isPresent()) {
            return;
        }
        RolloutStatus read = status.get();
        if (read.deadlineMillis() > 0) {
            long remaining = read.deadlineMillis() - storeMillis;
            mClock.limitDeadline(nowMillis + remaining);
        }
        if (read.moving()) {
            mClock.moving(nowMillis);
            apply(RolloutVerdict.GOOD, nowMillis);
        }
        mStatus = status;
        if (read.state().isFinal()) {
            mEndMillis = nowMillis;
            mVerdict = read.state() == State.DONE ? RolloutVerdict.GOOD : RolloutVerdict.BAD;
            mVersions.addOld();
        }
    }

    /** Returns whether the status must be read before this instance sends to the new version. */
    public boolean statusUnknown() {
        return !mStatusRead;
    }

    /** Keeps the version from getting requests, as its order was removed before it was judged. */
    public void pause() {
        mPaused = true;
    }

    /** Returns whether the order was removed before the version was judged good. */
    public boolean paused() {
        return mPaused;
    }

    /** Returns whether the rollout has ended at a peer, so that the status has news. */
    public boolean endedAtPeer() {
        return mEndedAtPeer && end().isEmpty();
    }

    /**
     * Returns the status that is to be written now.
     *
     * @param fleet the other instances
     * @param nowMillis current monotonic time, in milliseconds
     * @return state and whether the traffic moves; empty if what was read last is right
     */
    public Optional<RolloutStatus> wanted(RolloutFleet fleet, long nowMillis) {
        if (mPaused || end().isPresent()) {
            return mStatus.filter(each -> mStatusLost && !mPaused);
        }
        Optional<State> end = wantedEnd(fleet, nowMillis);
        boolean moving = moved();
        if (end.isEmpty() && mStatus.isPresent() && (mStatus.get().moving() || !moving)) {
            return Optional.empty();
        }
        return Optional.of(
                new RolloutStatus(end.orElse(State.RUNNING), mOrder.softwareVersion(), moving, 0));
    }

    private Optional<State> wantedEnd(RolloutFleet fleet, long nowMillis) {
        if (mVerdict == RolloutVerdict.BAD) {
            return Optional.of(State.ROLLED_BACK);
        }
        boolean finalStateDue = mClock.finalStateDue(nowMillis);
        boolean drained = drained(fleet, nowMillis);
        boolean watched = mClock.watched(nowMillis) && mJudge.finding() == Finding.FINE;
        if (drained && (watched || finalStateDue)) {
            return Optional.of(State.DONE);
        }
        return finalStateDue ? Optional.of(State.ROLLED_BACK) : Optional.empty();
    }

    /**
     * Returns whether no instance uses the old version any more. Those that are not heard learn
     * from the store that the traffic moves.
     */
    private boolean drained(RolloutFleet fleet, long nowMillis) {
        if (!moved() || !ownReport(nowMillis).drained()) {
            return false;
        }
        boolean unheardDrained = fleet.othersReadStatus() && mClock.unheardDrained(nowMillis);
        return mJudge.peers().drained(fleet.others(), unheardDrained, nowMillis);
    }
}
