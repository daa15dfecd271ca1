package org.wasabilug.internal.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.rollout.Rollout.Group;
import org.wasabilug.internal.rollout.RolloutInstances.Instance;
import org.wasabilug.internal.rollout.RolloutStatus.State;
import org.wasabilug.internal.serving.RolloutLimits;
import org.wasabilug.serving.StoreRevision;

final class RolloutTest {
    private static final double SHARE = RolloutLimits.DEFAULT.exposureShare();
    private static final int SLACK = RolloutLimits.DEFAULT.exposureSlack();

    private final RolloutInstances mFleet = new RolloutInstances(16);

    /** Guards against shares that add up to more than the bound where nobody hears anybody. */
    @Test
    void exposureIsBoundAsSumOverInstancesThatHearNobody() {
        RolloutInstances fleet = new RolloutInstances(64);
        fleet.mInstances.forEach(each -> each.mHearsPeers = false);
        fleet.mNewVersion = (route, now) -> fleet.mExposed % 20 == 0 ? 400 : 20;
        for (int step = 0; step < 100; step++) {
            fleet.run(RolloutInstances.STEP_MILLIS, 0.5);
            boolean judged =
                    fleet.mInstances.stream()
                            .anyMatch(each -> each.mRollout.verdict() == RolloutVerdict.GOOD);
            if (!judged) {
                assertThat((double) fleet.mExposed).isLessThan(SHARE * fleet.mRequests + SLACK);
            }
        }
        assertThat(fleet.mExposed).isPositive();
    }

    /** Guards against a good version that is exposed too much, late, or never gets the traffic. */
    @Test
    void goodVersionIsDoneBeforeDeadlineWithOldOneDrained() {
        while (mFleet.mInstances.stream().noneMatch(each -> each.mRollout.moved())) {
            mFleet.run(RolloutInstances.STEP_MILLIS, 1);
            assertThat(mFleet.mNow).isLessThan(RolloutInstances.DURATION_MILLIS);
        }
        assertThat((double) mFleet.mExposed).isLessThan(SHARE * mFleet.mRequests + SLACK);
        mFleet.run(RolloutInstances.DURATION_MILLIS - mFleet.mNow - 4_000, 1);
        assertThat(mFleet.state()).contains(State.DONE);
        for (Instance each : mFleet.mInstances) {
            assertThat(groups(each)).containsExactly(Group.CANDIDATE);
        }
    }

    /** Guards against an end while an instance still waits for an old endpoint. */
    @Test
    void isNotDoneWhileRequestRunsAtOldVersion() {
        Instance slow = mFleet.mInstances.getFirst();
        slow.mRollout.traffic().recordSent("v1", 0);
        mFleet.run(45_000, 1);
        assertThat(slow.mRollout.moved()).isTrue();
        assertThat(mFleet.state()).contains(State.RUNNING);
        slow.mRollout.traffic().recordEnd("v1", mFleet.mNow);
        mFleet.run(1_000, 1);
        assertThat(mFleet.state()).contains(State.DONE);
    }

    /** Guards against a version that fails now and then and is kept. */
    @Test
    void failingVersionIsRolledBack() {
        mFleet.mNewVersion = (route, now) -> mFleet.mRandom.nextDouble() < 0.15 ? -1 : 20;
        mFleet.run(30_000, 1);
        assertRolledBack();
    }

    /** Guards against a version without failures that is several times slower. */
    @Test
    void slowVersionIsRolledBack() {
        mFleet.mNewVersion = (route, now) -> 80;
        mFleet.run(30_000, 1);
        assertRolledBack();
    }

    /** Guards against many good responses that hide the bad ones that come later. */
    @Test
    void versionThatTurnsBadLaterIsRolledBack() {
        mFleet.mNewVersion =
                (route, now) -> now > 25_000 && mFleet.mRandom.nextDouble() < 0.2 ? -1 : 20;
        mFleet.run(25_000, 1);
        assertThat(mFleet.mInstances.getFirst().mRollout.moved()).isTrue();
        mFleet.run(15_000, 1);
        assertRolledBack();
    }

    /** Guards against a quiet route whose failures are few among the responses of another one. */
    @Test
    void versionThatIsBadOnOneRouteIsRolledBack() {
        mFleet.mNewVersion = (route, now) -> route == 1 ? 90 : 20;
        mFleet.run(40_000, 1);
        assertRolledBack();
    }

    private void assertRolledBack() {
        assertThat(mFleet.state()).contains(State.ROLLED_BACK);
        assertThat(mFleet.mExposedAfterFiftyBad).isZero();
        for (Instance each : mFleet.mInstances) {
            assertThat(groups(each)).containsExactly(Group.BASELINE);
        }
    }

    /** Guards against a rollout that never ends as there is nothing to move to. */
    @Test
    void orderWithoutEndpointsOfVersionIsRolledBackAtDeadline() {
        for (Instance each : mFleet.mInstances) {
            each.mRollout.service(Set.of("v1"), 0, new RolloutTiming(3_000, 0));
        }
        mFleet.run(RolloutInstances.DURATION_MILLIS - 7_000, 0);
        assertThat(mFleet.state()).contains(State.RUNNING);
        mFleet.run(7_000, 0);
        assertThat(mFleet.state()).contains(State.ROLLED_BACK);
    }

    /** Guards against retries and resumed streams that are not bound. */
    @Test
    void furtherSendsDrawOnTheSameBound() {
        Instance instance = mFleet.mInstances.getFirst();
        instance.mRollout.statusRead(Optional.empty(), 0, 0);
        instance.mRollout.traffic().recordRequest();
        int sends = 0;
        while (instance.mRollout.remainingExposure(SendKind.FURTHER, 50, 0) >= 1) {
            instance.mRollout.traffic().recordSent("v2", 0);
            sends++;
        }
        assertThat(sends).isEqualTo(1);
        assertThat(groups(instance)).containsExactly(Group.BASELINE);
    }

    /** Guards against slack that an earlier process of the instance may have used. */
    @Test
    void instanceThatStartsHalfwayHasNoShareBeforeItReadsStatusAndNoSlackAfterwards() {
        Rollout late = new Rollout(RolloutInstances.order(1), RolloutLimits.DEFAULT, false, 10_000);
        for (int request = 0; request < 5; request++) {
            late.traffic().recordRequest();
        }
        assertThat(late.remainingExposure(SendKind.FIRST, 1, 10_000)).isZero();
        late.statusRead(running(), 0, 10_000);
        assertThat(late.remainingExposure(SendKind.FIRST, 1, 10_000)).isBetween(0.0, 0.99);
        for (int request = 0; request < 20; request++) {
            late.traffic().recordRequest();
        }
        assertThat(late.remainingExposure(SendKind.FIRST, 1, 10_000)).isGreaterThan(1);
    }

    private static Optional<RolloutStatus> running() {
        return Optional.of(new RolloutStatus(State.RUNNING, "v2", false, 0));
    }

    /** Guards against a late instance that sends to a version that was rolled back before. */
    @Test
    void instanceThatStartsAfterRollbackUsesOldVersion() {
        Instance late = mFleet.add(false);
        late.mRollout.statusRead(
                Optional.of(new RolloutStatus(State.ROLLED_BACK, "v2", false, 0)), 0, 0);
        assertThat(groups(late)).containsExactly(Group.BASELINE);
        assertThat(late.mRollout.wanted(mFleet.fleet(late), 0)).isEmpty();
    }

    /** Guards against an instance whose peers know the verdict before it does. */
    @Test
    void verdictOfPeerBindsAtOnce() {
        Instance instance = mFleet.mInstances.getFirst();
        OutcomeCounts none = new OutcomeCounts();
        instance.mRollout.reportReceived(
                "peer", new InstanceReport(0, none, none, RolloutVerdict.BAD), 0);
        assertThat(groups(instance)).containsExactly(Group.BASELINE);
        assertThat(instance.mRollout.wanted(mFleet.fleet(instance), 0))
                .map(RolloutStatus::state)
                .contains(State.ROLLED_BACK);
    }

    /**
     * Guards against an end that an instance without peers misses, or that waits for it forever.
     */
    @Test
    void instanceCutOffFromPeersFollowsRow() {
        Instance cutOff = mFleet.mInstances.getLast();
        cutOff.mHearsPeers = false;
        mFleet.run(RolloutInstances.DURATION_MILLIS, 1);
        assertThat(mFleet.state()).contains(State.DONE);
        assertThat(groups(cutOff)).containsExactly(Group.CANDIDATE);
    }

    /** Guards against an instance without any news that goes on sending to a bad version. */
    @Test
    void instanceCutOffFromAllStopsSendingToVersionThatIsBadThere() {
        Instance cutOff = mFleet.mInstances.getLast();
        cutOff.mRollout.statusRead(Optional.empty(), 0, 0);
        cutOff.mHearsPeers = false;
        cutOff.mReachesStore = false;
        mFleet.mNewVersion = (route, now) -> -1;
        mFleet.run(30_000, 20);
        assertThat(groups(cutOff)).containsExactly(Group.BASELINE);
    }

    /** Guards against the exposure of an unjudged version to all traffic by removing its order. */
    @Test
    void removedOrderKeepsUnjudgedVersionFromTraffic() {
        Instance instance = mFleet.mInstances.getFirst();
        mFleet.run(2_000, 1);
        instance.mRollout.pause();
        assertThat(groups(instance)).containsExactly(Group.BASELINE);
        assertThat(instance.mRollout.report(mFleet.mNow)).isEmpty();
        assertThat(instance.mRollout.wanted(mFleet.fleet(instance), mFleet.mNow)).isEmpty();
    }

    /** Guards against a final state that is forgotten as the store came back without it. */
    @Test
    void orderRewrittenAfterOlderCopyKeepsVerdict() {
        mFleet.mNewVersion = (route, now) -> -1;
        mFleet.run(30_000, 1);
        Instance instance = mFleet.mInstances.getFirst();
        RolloutOrder again = rewrittenOrder();
        assertThat(instance.mRollout.isRewrittenAs(RolloutInstances.order(2))).isFalse();
        assertThat(instance.mRollout.isRewrittenAs(again)).isTrue();
        instance.mRollout.rewritten(again);
        assertThat(groups(instance)).containsExactly(Group.BASELINE);
        assertThat(instance.mRollout.wanted(mFleet.fleet(instance), mFleet.mNow))
                .map(RolloutStatus::state)
                .contains(State.ROLLED_BACK);
    }

    private static RolloutOrder rewrittenOrder() {
        RolloutOrder order = RolloutInstances.order(1);
        return new RolloutOrder(
                order.service(),
                order.softwareVersion(),
                order.durationMillis(),
                new StoreRevision(2, 1));
    }

    /** Guards against a final state that is reversed as the store came back without it. */
    @Test
    void doneIsWrittenAgainAfterOlderCopy() {
        Rollout rollout = doneInstance();
        rollout.rewritten(rewrittenOrder());
        rollout.statusRead(running(), 0, RolloutInstances.DURATION_MILLIS);
        assertThat(rollout.done()).isTrue();
        RolloutFleet fleet = new RolloutFleet(Set.of("peer"), 1);
        Optional<RolloutStatus> wanted = rollout.wanted(fleet, RolloutInstances.DURATION_MILLIS);
        assertThat(wanted).map(RolloutStatus::state).contains(State.DONE);
        rollout.statusRead(wanted, 0, RolloutInstances.DURATION_MILLIS);
        assertThat(rollout.wanted(fleet, RolloutInstances.DURATION_MILLIS)).isEmpty();
    }

    private Rollout doneInstance() {
        Rollout rollout = mFleet.mInstances.getFirst().mRollout;
        rollout.statusRead(Optional.of(new RolloutStatus(State.DONE, "v2", true, 0)), 0, 0);
        return rollout;
    }

    /** Guards against requests to stopped endpoints while no new one is usable for a moment. */
    @Test
    void doneServiceUsesOldVersionOnlyIfNoOtherIsRegistered() {
        Rollout rollout = doneInstance();
        assertThat(rollout.mayUseAny()).isFalse();
        rollout.service(Set.of("v1"), 0, new RolloutTiming(3_000, 0));
        assertThat(rollout.mayUseAny()).isTrue();
    }

    /** Guards against a verdict from an endpoint directory that is empty or not yet complete. */
    @Test
    void missingVersionIsBadOnlyIfItWasSeenAndOthersAreKnown() {
        RolloutTiming timing = new RolloutTiming(3_000, 0);
        Rollout rollout = new Rollout(RolloutInstances.order(1), RolloutLimits.DEFAULT, true, 0);
        rollout.statusRead(Optional.of(new RolloutStatus(State.RUNNING, "v2", true, 0)), 0, 0);
        rollout.service(Set.of("v1"), 0, timing);
        assertThat(verdict(rollout)).isEqualTo(RolloutVerdict.GOOD);
        rollout.service(Set.of("v1", "v2"), 0, timing);
        rollout.service(Set.of(), 0, timing);
        assertThat(verdict(rollout)).isEqualTo(RolloutVerdict.GOOD);
        rollout.service(Set.of("v1"), 0, timing);
        assertThat(verdict(rollout)).isEqualTo(RolloutVerdict.BAD);
    }

    private static RolloutVerdict verdict(Rollout rollout) {
        rollout.judge(new RolloutFleet(Set.of(), 1), 1_000);
        return rollout.verdict();
    }

    /**
     * Guards against `done` while a silent peer, whose last report is old, uses the old version.
     */
    @Test
    void peerThatIsNoLongerHeardIsNotDrainedByItsLastReport() {
        PeerReports peers = new PeerReports();
        OutcomeCounts none = new OutcomeCounts();
        peers.received("peer", new InstanceReport(0, none, none, RolloutVerdict.GOOD), 0);
        assertThat(peers.drained(Set.of("peer"), false, 5_000)).isTrue();
        assertThat(peers.drained(Set.of("peer"), false, 5_001)).isFalse();
    }

    /**
     * Guards against a use of the new version by an instance that will learn the end from peers.
     */
    @Test
    void newVersionIsUsedWithoutKnowledgeOfTheEndOnlyIfNoPeerIsHeard() {
        Instance instance = mFleet.mInstances.getFirst();
        mFleet.mNow = RolloutInstances.DURATION_MILLIS + 10_000;
        instance.mRollout.reportMissing("peer", mFleet.mNow);
        assertThat(groups(instance)).containsExactly(Group.BASELINE);
        mFleet.mNow += 5_001;
        assertThat(groups(instance)).containsExactly(Group.BASELINE, Group.CANDIDATE);
    }

    /** Guards against a move of all traffic of an instance that misses the failures of others. */
    @Test
    void instanceThatHearsNoOtherDoesNotJudgeVersionGood() {
        Instance alone = mFleet.mInstances.getFirst();
        mFleet.mInstances.forEach(each -> each.mHearsPeers = false);
        alone.mRollout.statusRead(running(), 0, 0);
        mFleet.run(45_000, 20);
        assertThat(alone.mRollout.verdict()).isEqualTo(RolloutVerdict.UNDECIDED);
    }

    private List<Group> groups(Instance instance) {
        return instance.mRollout.groups(SendKind.FIRST, mFleet.mInstances.size(), mFleet.mNow);
    }
}
