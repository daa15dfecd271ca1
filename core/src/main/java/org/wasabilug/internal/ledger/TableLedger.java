package org.wasabilug.internal.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.event.Decision;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.ledger.LedgerEntry.Phase;
import org.wasabilug.internal.ledger.LedgerStep.SettledClaim;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowCondition;
import org.wasabilug.port.RowKey;

/**
 * At-most-once ledger in the platform's table service.
 *
 * <p>A write whose answer was lost is sent again with the same token and condition until the table
 * service decides: it commits, or the row that stands in its way tells whether an earlier sending
 * did. A claim that nobody waits for any more is settled all the same and then given back.
 *
 * <p>Outcomes name request and stage, so the caller of this class claims the same stage of the same
 * request a second time only after the outcome of the first.
 */
public final class TableLedger implements AtMostOnceLedger {
    private static final long MAXIMUM_RESULT_CHARACTERS = 16L * 1024 * 1024;

    private final String mIncarnation;
    private final LedgerSettings mSettings;
    private final LedgerBatches mBatches;
    private final Map<RowKey, LedgerEntry> mEntries = new HashMap<>();
    private final ArrayDeque<Waiting> mWaiting = new ArrayDeque<>();
    private final List<SettledClaim> mSettled = new ArrayList<>();
    private final List<InstanceAction> mActions = new ArrayList<>();
    private long mTokenCount;
    private int mUnrecorded;
    private long mResultCharacters;

    /** A claim that a caller waits for, in the order of the claims. */
    private record Waiting(LedgerEntry entry, long claimedNanos) {}

    /**
     * Creates an empty ledger.
     *
     * @param incarnation text that no other process ever has
     * @param random seeded source of jitter
     * @param settings times and bounds
     */
    public TableLedger(String incarnation, UniformRandomProvider random, LedgerSettings settings) {
        mIncarnation = incarnation;
        mSettings = settings;
        mBatches = new LedgerBatches(settings, random);
    }

    @Override
    public LedgerStep claim(RequestId request, StageName stage, long contentDigest, long nowNanos) {
        LedgerEntry entry = mEntries.get(ClaimRow.keyOf(request, stage));
        if (entry != null) {
            claimKnown(entry, contentDigest, nowNanos);
        } else if (isFull()) {
            settle(request, stage, new ClaimOutcome.NotClaimed());
        } else {
            LedgerEntry added =
                    new LedgerEntry(request, stage, contentDigest, nextToken(), nowNanos);
            mEntries.put(added.mKey, added);
            await(added, nowNanos);
            mBatches.add(added, nowNanos);
        }
        return finish(nowNanos);
    }

    private void claimKnown(LedgerEntry entry, long contentDigest, long nowNanos) {
        if (entry.mDigest != contentDigest) {
            settle(entry.mRequest, entry.mStage, new ClaimOutcome.ContentDiffers());
        } else if (entry.mPhase == Phase.RECORDING) {
            settle(entry.mRequest, entry.mStage, new ClaimOutcome.Recorded(entry.mResult));
        } else if (entry.mPhase == Phase.GRANTED || entry.mAwaited) {
            settle(entry.mRequest, entry.mStage, new ClaimOutcome.HeldElsewhere());
        } else {
            await(entry, nowNanos);
        }
    }

    private boolean isFull() {
        return mEntries.size() >= mSettings.maximumEntries()
                || mResultCharacters >= MAXIMUM_RESULT_CHARACTERS;
    }

    private String nextToken() {
        return mIncarnation + "-" + ++mTokenCount;
    }

    private void await(LedgerEntry entry, long nowNanos) {
        entry.mAwaited = true;
        entry.mClaimedNanos = nowNanos;
        mWaiting.addLast(new Waiting(entry, nowNanos));
    }

    @Override
    public LedgerStep record(RequestId request, StageName stage, String result, long nowNanos) {
        LedgerEntry entry = mEntries.get(ClaimRow.keyOf(request, stage));
        if (entry != null && entry.mPhase == Phase.GRANTED) {
            entry.mPhase = Phase.RECORDING;
            entry.mResult = result;
            mUnrecorded++;
            mResultCharacters += result.length();
            mBatches.add(entry, nowNanos);
        }
        return finish(nowNanos);
    }

    @Override
    public LedgerStep release(RequestId request, StageName stage, long nowNanos) {
        LedgerEntry entry = mEntries.get(ClaimRow.keyOf(request, stage));
        if (entry != null && entry.mPhase == Phase.GRANTED) {
            giveBack(entry, nowNanos);
        }
        return finish(nowNanos);
    }

    private void giveBack(LedgerEntry entry, long nowNanos) {
        entry.mPhase = Phase.RELEASING;
        entry.mAwaited = false;
        mBatches.add(entry, nowNanos);
    }

    @Override
    public LedgerStep handle(InstanceEvent event, long nowNanos) {
        if (event instanceof InstanceEvent.CommitAnswered answer) {
            mBatches.answered(answer.operation())
                    .ifPresent(batch -> answered(batch.entries(), answer.outcome(), nowNanos));
        }
        return finish(nowNanos);
    }

    /**
     * Does what is due.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return what to do now
     */
    public LedgerStep tick(long nowNanos) {
        return finish(nowNanos);
    }

    /**
     * When {@link #tick} wants to be called next.
     *
     * @return monotonic time, in nanoseconds; the largest number where nothing waits
     */
    public long nextWakeNanos() {
        long due = mBatches.nextWakeNanos();
        return mWaiting.isEmpty() ? due : Math.min(due, patienceEndNanos(mWaiting.getFirst()));
    }

    @Override
    public int unrecorded() {
        return mUnrecorded;
    }

    private long patienceEndNanos(Waiting waiting) {
        return waiting.claimedNanos() + mSettings.patience().toNanos();
    }

    private LedgerStep finish(long nowNanos) {
        for (LedgerBatches.Batch batch : mBatches.takeTimedOut(nowNanos)) {
            answered(batch.entries(), new CommitOutcome.Unknown(), nowNanos);
        }
        while (!mWaiting.isEmpty() && patienceEndNanos(mWaiting.getFirst()) <= nowNanos) {
            endPatience(mWaiting.removeFirst());
        }
        mActions.addAll(mBatches.send(nowNanos));
        LedgerStep step = new LedgerStep(mActions, mSettled);
        mActions.clear();
        mSettled.clear();
        return step;
    }

    private void endPatience(Waiting waiting) {
        LedgerEntry entry = waiting.entry();
        boolean waits = entry.mAwaited && entry.mClaimedNanos == waiting.claimedNanos();
        if (!waits || mEntries.get(entry.mKey) != entry) {
            return;
        }
        if (entry.mPhase == Phase.RELEASING) {
            settle(entry, new ClaimOutcome.NotClaimed());
        } else if (entry.mInFlight || entry.mDoubtful) {
            settle(entry, new ClaimOutcome.Unknown());
        } else {
            mBatches.remove(entry);
            mEntries.remove(entry.mKey);
            settle(entry, new ClaimOutcome.NotClaimed());
        }
    }

    private void answered(List<LedgerEntry> entries, CommitOutcome outcome, long nowNanos) {
        switch (outcome) {
            case CommitOutcome.Committed ignored -> {
                mBatches.succeeded();
                entries.forEach(entry -> took(entry, entry.mVersion + 1, nowNanos));
            }
            case CommitOutcome.Rejected rejected -> {
                mBatches.succeeded();
                rejected(entries, rejected, nowNanos);
            }
            case CommitOutcome.NotSent ignored -> retry(entries, false, nowNanos);
            case CommitOutcome.Unknown ignored -> retry(entries, true, nowNanos);
        }
    }

    private void retry(List<LedgerEntry> entries, boolean mayHaveTakenEffect, long nowNanos) {
        mBatches.failed(nowNanos);
        for (LedgerEntry entry : entries) {
            entry.mDoubtful |= mayHaveTakenEffect;
            mBatches.add(entry, nowNanos);
        }
    }

    /** The others of a rejected transaction are sent again; only the failed ones change course. */
    private void rejected(
            List<LedgerEntry> entries, CommitOutcome.Rejected rejected, long nowNanos) {
        Set<RowKey> failed = new HashSet<>();
        rejected.failed().stream().map(RowCondition::key).forEach(failed::add);
        for (LedgerEntry entry : entries) {
            if (failed.contains(entry.mKey)) {
                Optional<Row> row =
                        rejected.current().stream()
                                .filter(each -> each.key().equals(entry.mKey))
                                .findFirst();
                foundInTheWay(entry, row, nowNanos);
            } else {
                mBatches.add(entry, nowNanos);
            }
        }
    }

    /** The write of the entry took effect and made this version of the row. */
    private void took(LedgerEntry entry, long version, long nowNanos) {
        entry.mVersion = version;
        entry.mDoubtful = false;
        if (entry.mPhase != Phase.CLAIMING) {
            finished(entry, nowNanos);
        } else if (entry.mAwaited) {
            settle(entry, new ClaimOutcome.Granted());
            entry.mPhase = Phase.GRANTED;
        } else {
            giveBack(entry, nowNanos);
        }
    }

    private void finished(LedgerEntry entry, long nowNanos) {
        if (entry.mPhase == Phase.RECORDING) {
            mUnrecorded--;
            mResultCharacters -= entry.mResult.length();
        } else if (entry.mAwaited) {
            entry.mPhase = Phase.CLAIMING;
            entry.mToken = nextToken();
            mBatches.add(entry, nowNanos);
            return;
        }
        mEntries.remove(entry.mKey);
    }

    private void foundInTheWay(LedgerEntry entry, Optional<Row> row, long nowNanos) {
        entry.mDoubtful = false;
        long version = row.map(Row::version).orElse(0L);
        ClaimRow value = row.map(ClaimRow::of).orElse(new ClaimRow("", entry.mDigest, null));
        if (entry.mPhase == Phase.CLAIMING) {
            claimMet(entry, value, version, nowNanos);
            return;
        }
        boolean own = value.token().equals(entry.mToken);
        if (own && !value.isRecorded()) {
            entry.mVersion = version;
            mBatches.add(entry, nowNanos);
        } else if (entry.mPhase == Phase.RELEASING && entry.mAwaited) {
            // Another may have claimed the row that was given back.
            entry.mPhase = Phase.CLAIMING;
            entry.mToken = nextToken();
            claimMet(entry, value, version, nowNanos);
        } else {
            reportUnless(own || entry.mPhase == Phase.RELEASING, entry);
            finished(entry, nowNanos);
        }
    }

    private void claimMet(LedgerEntry entry, ClaimRow value, long version, long nowNanos) {
        if (value.token().equals(entry.mToken)) {
            took(entry, version, nowNanos);
            return;
        }
        if (value.isFree()) {
            entry.mVersion = version;
            mBatches.add(entry, nowNanos);
            return;
        }
        mEntries.remove(entry.mKey);
        if (value.digest() != entry.mDigest) {
            settle(entry, new ClaimOutcome.ContentDiffers());
        } else if (value.isRecorded()) {
            settle(entry, new ClaimOutcome.Recorded(value.result()));
        } else {
            settle(entry, new ClaimOutcome.HeldElsewhere());
        }
    }

    private void reportUnless(boolean expected, LedgerEntry entry) {
        if (!expected) {
            mActions.add(
                    new InstanceAction.LogDecision(
                            new Decision(
                                    "ledger",
                                    entry.mRequest.value(),
                                    "",
                                    entry.mStage.value(),
                                    0,
                                    "",
                                    "the row of a held claim was changed by another",
                                    -1)));
        }
    }

    private void settle(LedgerEntry entry, ClaimOutcome outcome) {
        if (entry.mAwaited) {
            entry.mAwaited = false;
            settle(entry.mRequest, entry.mStage, outcome);
        }
    }

    private void settle(RequestId request, StageName stage, ClaimOutcome outcome) {
        mSettled.add(new SettledClaim(request, stage, outcome));
    }
}
