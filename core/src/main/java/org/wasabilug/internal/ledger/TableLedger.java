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
 * <p>A write whose response was lost is resent with the same token and condition until its outcome
 * is known: it commits, or the conflicting row shows whether an earlier attempt committed. A claim
 * that no caller waits for any longer is still settled and then released.
 *
 * <p>Outcomes are identified by request and stage only, so a caller must not claim the same stage
 * of the same request again before the outcome of its previous claim is known.
 */
public final class TableLedger implements AtMostOnceLedger {
    private static final long MAXIMUM_RESULT_CHARACTERS = 16L * 1024 * 1024;

    private final String mIncarnation;
    private final LedgerSettings mSettings;
    private final LedgerBatches mBatches;
    private final Map<RowKey, LedgerEntry> mEntries = new HashMap<>();

    /** Awaited claims in the order in which they were made. */
    private final ArrayDeque<PendingClaim> mPendingClaims = new ArrayDeque<>();

    private final List<SettledClaim> mSettled = new ArrayList<>();
    private final List<InstanceAction> mActions = new ArrayList<>();
    private long mTokenCount;
    private int mUnrecorded;
    private long mResultCharacters;

    /** A claim whose outcome a caller waits for. */
    private record PendingClaim(LedgerEntry entry, long claimedNanos) {}

    /**
     * Creates an empty ledger.
     *
     * @param incarnation identifier that no other process ever uses
     * @param random seeded random source for jitter
     * @param settings timing and limits
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
            claimExisting(entry, contentDigest, nowNanos);
        } else if (isFull()) {
            settle(request, stage, new ClaimOutcome.NotClaimed());
        } else {
            LedgerEntry added =
                    new LedgerEntry(request, stage, contentDigest, nextToken(), nowNanos);
            mEntries.put(added.mKey, added);
            addPending(added, nowNanos);
            mBatches.add(added, nowNanos);
        }
        return finish(nowNanos);
    }

    private void claimExisting(LedgerEntry entry, long contentDigest, long nowNanos) {
        if (entry.mDigest != contentDigest) {
            settle(entry.mRequest, entry.mStage, new ClaimOutcome.ContentDiffers());
        } else if (entry.mPhase == Phase.RECORDING) {
            settle(entry.mRequest, entry.mStage, new ClaimOutcome.Recorded(entry.mResult));
        } else if (entry.mPhase == Phase.GRANTED || entry.mAwaited) {
            settle(entry.mRequest, entry.mStage, new ClaimOutcome.HeldElsewhere());
        } else {
            addPending(entry, nowNanos);
        }
    }

    private boolean isFull() {
        return mEntries.size() >= mSettings.maximumEntries()
                || mResultCharacters >= MAXIMUM_RESULT_CHARACTERS;
    }

    private String nextToken() {
        return mIncarnation + "-" + ++mTokenCount;
    }

    private void addPending(LedgerEntry entry, long nowNanos) {
        entry.mAwaited = true;
        entry.mClaimedNanos = nowNanos;
        mPendingClaims.addLast(new PendingClaim(entry, nowNanos));
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
            startRelease(entry, nowNanos);
        }
        return finish(nowNanos);
    }

    private void startRelease(LedgerEntry entry, long nowNanos) {
        entry.mPhase = Phase.RELEASING;
        entry.mAwaited = false;
        mBatches.add(entry, nowNanos);
    }

    @Override
    public LedgerStep handle(InstanceEvent event, long nowNanos) {
        if (event instanceof InstanceEvent.CommitAnswered answer) {
            mBatches.removeAnswered(answer.operation())
                    .ifPresent(batch -> applyOutcome(batch.entries(), answer.outcome(), nowNanos));
        }
        return finish(nowNanos);
    }

    /**
     * Sends due transactions and handles timeouts.
     *
     * @param nowNanos current monotonic time, in nanoseconds
     * @return actions to perform and claims that were settled
     */
    public LedgerStep tick(long nowNanos) {
        return finish(nowNanos);
    }

    /**
     * Returns when {@link #tick} has to be called next.
     *
     * @return monotonic time, in nanoseconds; {@link Long#MAX_VALUE} if nothing is scheduled
     */
    public long nextWakeNanos() {
        long due = mBatches.nextWakeNanos();
        return mPendingClaims.isEmpty()
                ? due
                : Math.min(due, claimDeadlineNanos(mPendingClaims.getFirst()));
    }

    @Override
    public int unrecorded() {
        return mUnrecorded;
    }

    private long claimDeadlineNanos(PendingClaim pending) {
        return pending.claimedNanos() + mSettings.claimTimeout().toNanos();
    }

    private LedgerStep finish(long nowNanos) {
        for (LedgerBatches.Batch batch : mBatches.removeTimedOut(nowNanos)) {
            applyOutcome(batch.entries(), new CommitOutcome.Unknown(), nowNanos);
        }
        while (!mPendingClaims.isEmpty()
                && claimDeadlineNanos(mPendingClaims.getFirst()) <= nowNanos) {
            timeOutClaim(mPendingClaims.removeFirst());
        }
        mActions.addAll(mBatches.send(nowNanos));
        LedgerStep step = new LedgerStep(mActions, mSettled);
        mActions.clear();
        mSettled.clear();
        return step;
    }

    private void timeOutClaim(PendingClaim pending) {
        LedgerEntry entry = pending.entry();
        boolean isAwaited = entry.mAwaited && entry.mClaimedNanos == pending.claimedNanos();
        if (!isAwaited || mEntries.get(entry.mKey) != entry) {
            return;
        }
        if (entry.mPhase == Phase.RELEASING) {
            settle(entry, new ClaimOutcome.NotClaimed());
        } else if (entry.mInFlight || entry.mUncertain) {
            settle(entry, new ClaimOutcome.Unknown());
        } else {
            mBatches.remove(entry);
            mEntries.remove(entry.mKey);
            settle(entry, new ClaimOutcome.NotClaimed());
        }
    }

    private void applyOutcome(List<LedgerEntry> entries, CommitOutcome outcome, long nowNanos) {
        switch (outcome) {
            case CommitOutcome.Committed ignored -> {
                mBatches.succeeded();
                entries.forEach(entry -> applyCommit(entry, entry.mVersion + 1, nowNanos));
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
            entry.mUncertain |= mayHaveTakenEffect;
            mBatches.add(entry, nowNanos);
        }
    }

    /** Resolves the entries whose condition failed and resends the others of the transaction. */
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
                resolveConflict(entry, row, nowNanos);
            } else {
                mBatches.add(entry, nowNanos);
            }
        }
    }

    /** Applies the committed write of an entry, which produced the given version of the row. */
    private void applyCommit(LedgerEntry entry, long version, long nowNanos) {
        entry.mVersion = version;
        entry.mUncertain = false;
        if (entry.mPhase != Phase.CLAIMING) {
            complete(entry, nowNanos);
        } else if (entry.mAwaited) {
            settle(entry, new ClaimOutcome.Granted());
            entry.mPhase = Phase.GRANTED;
        } else {
            startRelease(entry, nowNanos);
        }
    }

    private void complete(LedgerEntry entry, long nowNanos) {
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

    private void resolveConflict(LedgerEntry entry, Optional<Row> row, long nowNanos) {
        entry.mUncertain = false;
        long version = row.map(Row::version).orElse(0L);
        ClaimRow value = row.map(ClaimRow::of).orElse(new ClaimRow("", entry.mDigest, null));
        if (entry.mPhase == Phase.CLAIMING) {
            resolveClaimConflict(entry, value, version, nowNanos);
            return;
        }
        boolean sameToken = value.token().equals(entry.mToken);
        if (sameToken && !value.isRecorded()) {
            entry.mVersion = version;
            mBatches.add(entry, nowNanos);
        } else if (entry.mPhase == Phase.RELEASING && entry.mAwaited) {
            // Another instance may have claimed the row after it was released.
            entry.mPhase = Phase.CLAIMING;
            entry.mToken = nextToken();
            resolveClaimConflict(entry, value, version, nowNanos);
        } else {
            logUnless(sameToken || entry.mPhase == Phase.RELEASING, entry);
            complete(entry, nowNanos);
        }
    }

    private void resolveClaimConflict(
            LedgerEntry entry, ClaimRow value, long version, long nowNanos) {
        if (value.token().equals(entry.mToken)) {
            applyCommit(entry, version, nowNanos);
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

    private void logUnless(boolean expected, LedgerEntry entry) {
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
                                    "another process changed the row of a claim held here",
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
