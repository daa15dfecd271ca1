package org.wasabilug.gateway.internal.fleet;

import java.util.Optional;
import java.util.Set;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.rollout.Rollout;
import org.wasabilug.internal.rollout.RolloutFleet;
import org.wasabilug.internal.rollout.RolloutStatus;
import org.wasabilug.internal.rollout.RolloutVerdict;
import org.wasabilug.internal.serving.RendezvousHashing;

/**
 * Reads and writes the status of one rollout.
 *
 * <p>A few instances, chosen by hash, write one after the other, so that the next one continues if
 * a writer ends halfway. All others read only when they start, when the rollout has ended at a
 * peer, while they hear too few peers, and after the deadline.
 */
final class RolloutRecorder {
    private static final int MAX_WRITERS = 4;

    /** Time for which each writer waits for the one before it. */
    private static final long WRITER_INTERVAL_MILLIS = 1_000;

    /** Time between reads while this instance hears too few peers. */
    private static final long READ_INTERVAL_MILLIS = 2_000;

    private static final long RETRY_MILLIS = 500;

    private final GatewayState mState;
    private final Rollout mRollout;
    private final RolloutStatusTable mTable;
    private RolloutVerdict mLoggedVerdict = RolloutVerdict.UNDECIDED;
    private Optional<RolloutStatus> mLoggedStatus = Optional.empty();
    private Optional<RolloutStatus> mWanted = Optional.empty();
    private RolloutFleet mFleet;
    private long mWantedMillis;
    private long mNextReadMillis;
    private boolean mBusy;

    RolloutRecorder(GatewayState state, Rollout rollout, RolloutStatusTable table) {
        mState = state;
        mRollout = rollout;
        mTable = table;
    }

    /** Judges the version, and reads or writes the status if that is due. */
    void advance(RolloutFleet fleet, Set<String> live) {
        if (mRollout.endRecorded()) {
            return;
        }
        mFleet = fleet;
        long now = mState.nowMillis();
        mRollout.judge(fleet, now);
        logVerdict();
        updateWanted(now);
        if (!mBusy && now >= mNextReadMillis && (readDue(fleet, now) || writeDue(live, now))) {
            mBusy = true;
            mNextReadMillis = now + RETRY_MILLIS;
            mTable.read(mRollout.order(), contents -> statusRead(contents, live));
        }
    }

    private void updateWanted(long now) {
        Optional<RolloutStatus> wanted = mRollout.wanted(mFleet, now);
        if (!wanted.equals(mWanted)) {
            mWanted = wanted;
            mWantedMillis = now;
        }
    }

    private boolean readDue(RolloutFleet fleet, long now) {
        boolean regularly = fleet.cutOff() || now >= mRollout.deadlineMillis();
        return mRollout.statusUnknown()
                || mRollout.endedAtPeer()
                || regularly && now >= mNextReadMillis + READ_INTERVAL_MILLIS - RETRY_MILLIS;
    }

    private boolean writeDue(Set<String> live, long now) {
        int position = positionAmongWriters(live);
        return mWanted.isPresent()
                && position >= 0
                && now - mWantedMillis >= position * WRITER_INTERVAL_MILLIS;
    }

    private int positionAmongWriters(Set<String> live) {
        String task = mState.protocol().store().rolloutKey(mRollout.order().service());
        return RendezvousHashing.choose(task, live, MAX_WRITERS).indexOf(mState.settings().name());
    }

    private void statusRead(Optional<RolloutStatusTable.Contents> contents, Set<String> live) {
        mBusy = false;
        if (contents.isEmpty()) {
            return;
        }
        apply(contents.get());
        long now = mState.nowMillis();
        updateWanted(now);
        if (mRollout.endRecorded() || mRollout.paused() || !writeDue(live, now)) {
            mTable.closeIdle();
            return;
        }
        mBusy = true;
        write(contents.get(), now);
    }

    private void apply(RolloutStatusTable.Contents contents) {
        mRollout.statusRead(contents.status(), contents.storeMillis(), mState.nowMillis());
        contents.status().ifPresent(status -> logStatus(status, false));
    }

    private void write(RolloutStatusTable.Contents read, long now) {
        RolloutStatus wanted = mWanted.orElseThrow();
        long remaining = Math.max(1, mRollout.deadlineMillis() - now);
        RolloutStatus status =
                new RolloutStatus(
                        wanted.state(),
                        wanted.softwareVersion(),
                        wanted.moving(),
                        read.storeMillis() + remaining);
        mTable.write(
                mRollout.order(),
                status,
                read.replaced(),
                written -> {
                    mBusy = false;
                    if (written) {
                        mRollout.statusRead(
                                Optional.of(status), read.storeMillis(), mState.nowMillis());
                        logStatus(status, true);
                        mTable.closeIdle();
                    }
                });
    }

    private void logStatus(RolloutStatus status, boolean written) {
        if (mLoggedStatus.filter(logged -> same(logged, status)).isPresent()) {
            return;
        }
        mLoggedStatus = Optional.of(status);
        mState.log()
                .process(
                        LogLine.of("rollout-state")
                                .with("service", mRollout.order().service())
                                .with("to", status.softwareVersion())
                                .with("state", status.state().name())
                                .with("moving", status.moving())
                                .with("written", written));
    }

    private static boolean same(RolloutStatus one, RolloutStatus other) {
        return one.state() == other.state() && one.moving() == other.moving();
    }

    private void logVerdict() {
        if (mRollout.verdict() != mLoggedVerdict) {
            mLoggedVerdict = mRollout.verdict();
            mState.log().process(verdictLine());
        }
    }

    private LogLine verdictLine() {
        Rollout.Figures figures = mRollout.figures();
        return LogLine.of("rollout-verdict")
                .with("service", mRollout.order().service())
                .with("to", mRollout.order().softwareVersion())
                .with("verdict", mLoggedVerdict.name())
                .with("responses", figures.responses())
                .with("failures", figures.failures())
                .with("old_responses", figures.baselineResponses())
                .with("old_failures", figures.baselineFailures());
    }
}
