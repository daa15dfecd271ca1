package org.wasabilug.internal.rollout;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.wasabilug.internal.rollout.Rollout.Group;
import org.wasabilug.internal.serving.RolloutLimits;
import org.wasabilug.serving.StoreRevision;

/** Instances with one order in virtual time, in front of endpoints of an old and a new version. */
final class RolloutInstances {
    static final long DURATION_MILLIS = 60_000;
    static final long STEP_MILLIS = 250;
    private static final RolloutTiming TIMING = new RolloutTiming(3_000, 0);

    final List<Instance> mInstances = new ArrayList<>();
    final Random mRandom = new Random(1);
    Behaviour mNewVersion = (route, now) -> 20;
    Optional<RolloutStatus> mRow = Optional.empty();
    long mNow;
    long mExposed;
    long mBadResponses;
    long mExposedAfterFiftyBad;
    long mRequests;
    private long mFiftiethBadMillis = Long.MAX_VALUE;

    /** Response time of a request, or a negative number for a failure. */
    interface Behaviour {
        double respond(int route, long nowMillis);
    }

    /** One instance. */
    static final class Instance {
        final String mName;
        final Rollout mRollout;
        boolean mHearsPeers = true;
        boolean mReachesStore = true;

        Instance(String name, boolean present, long nowMillis) {
            mName = name;
            mRollout = new Rollout(order(1), RolloutLimits.DEFAULT, present, nowMillis);
            mRollout.service(Set.of("v1", "v2"), 0, TIMING);
        }
    }

    RolloutInstances(int count) {
        IntStream.range(0, count).forEach(each -> add(true));
    }

    static RolloutOrder order(long version) {
        return new RolloutOrder("ledger", "v2", DURATION_MILLIS, new StoreRevision(1, version));
    }

    Instance add(boolean present) {
        Instance instance = new Instance("i" + mInstances.size(), present, mNow);
        mInstances.add(instance);
        return instance;
    }

    /** Lets time pass with some requests of each instance in each step, spread over two routes. */
    void run(long millis, double requestsPerStep) {
        for (long until = mNow + millis; mNow < until; mNow += STEP_MILLIS) {
            mInstances.forEach(instance -> send(instance, requestsPerStep));
            mInstances.forEach(this::exchange);
            mInstances.forEach(instance -> instance.mRollout.judge(fleet(instance), mNow));
            mInstances.stream().filter(each -> each.mReachesStore).forEach(this::record);
        }
    }

    private void send(Instance instance, double requestsPerStep) {
        for (double left = requestsPerStep; left > 0; left--) {
            if (left >= 1 || mRandom.nextDouble() < left) {
                request(instance, mRandom.nextDouble() < 0.1 ? 1 : 0);
            }
        }
    }

    void request(Instance instance, int route) {
        Rollout rollout = instance.mRollout;
        Group group = rollout.groups(SendKind.FIRST, mInstances.size(), mNow).getFirst();
        boolean candidate = group == Group.CANDIDATE;
        String version = candidate ? "v2" : "v1";
        double millis = candidate ? mNewVersion.respond(route, mNow) : 20;
        mRequests++;
        rollout.traffic().recordRequest();
        rollout.traffic().recordSent(version, mNow);
        if (millis < 0) {
            rollout.traffic().recordFailure(version, route, mNow);
        } else {
            rollout.traffic()
                    .recordSuccess(version, route, millis * (0.5 + mRandom.nextDouble()), mNow);
        }
        if (candidate) {
            count(millis);
        }
    }

    private void count(double millis) {
        mExposed++;
        mBadResponses += millis < 0 || millis > 40 ? 1 : 0;
        if (mBadResponses >= 50) {
            mFiftiethBadMillis = Math.min(mFiftiethBadMillis, mNow);
        }
        if (mNow - RolloutLimits.DEFAULT.rollbackMillis() > mFiftiethBadMillis) {
            mExposedAfterFiftyBad++;
        }
    }

    private void exchange(Instance sender) {
        mInstances.stream()
                .filter(each -> each != sender && each.mHearsPeers && sender.mHearsPeers)
                .forEach(
                        each ->
                                sender.mRollout
                                        .report(mNow)
                                        .ifPresentOrElse(
                                                report ->
                                                        each.mRollout.reportReceived(
                                                                sender.mName, report, mNow),
                                                () ->
                                                        each.mRollout.reportMissing(
                                                                sender.mName, mNow)));
    }

    /** Reads the row where that is due, and writes what is wanted; the first writer wins. */
    private void record(Instance instance) {
        Rollout rollout = instance.mRollout;
        RolloutFleet fleet = fleet(instance);
        boolean news = rollout.statusUnknown() || rollout.endedAtPeer() || fleet.cutOff();
        if (news || rollout.wanted(fleet, mNow).isPresent()) {
            rollout.statusRead(mRow, 0, mNow);
        }
        rollout.wanted(fleet, mNow).ifPresent(wanted -> write(rollout, wanted));
    }

    private void write(Rollout rollout, RolloutStatus wanted) {
        mRow = Optional.of(wanted);
        rollout.statusRead(mRow, 0, mNow);
    }

    RolloutFleet fleet(Instance instance) {
        Set<String> others = new HashSet<>();
        mInstances.forEach(each -> others.add(each.mName));
        others.remove(instance.mName);
        long heard = mInstances.stream().filter(each -> each.mHearsPeers).count();
        return new RolloutFleet(others, instance.mHearsPeers ? (int) heard : 1);
    }

    Optional<RolloutStatus.State> state() {
        return mRow.map(RolloutStatus::state);
    }
}
