package org.wasabilug.internal.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.event.Component;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.OperationId;
import org.wasabilug.port.TableTransaction;

/**
 * Gathers writes of the ledger into few transactions.
 *
 * <p>A claim goes out at once where no transaction is on its way, else it gathers with others.
 * Failures of the table service slow every transaction down and make batches smaller, so that one
 * write that can't succeed does not hold up the rest.
 */
final class LedgerBatches {
    private static final int MAXIMUM_ROWS = 64;
    private static final int MAXIMUM_CHARACTERS = 256 * 1024;
    private static final int MAXIMUM_OUTSTANDING = 4;
    private static final long FIRST_BACKOFF_NANOS = 50_000_000L;
    private static final int MAXIMUM_DOUBLINGS = 6;

    private final LedgerSettings mSettings;
    private final UniformRandomProvider mRandom;
    private final ArrayDeque<LedgerEntry> mClaims = new ArrayDeque<>();
    private final ArrayDeque<LedgerEntry> mRecords = new ArrayDeque<>();
    private final Map<OperationId, Batch> mOutstanding = new HashMap<>();
    private long mOperationCount;
    private long mNoSendBeforeNanos = Long.MIN_VALUE;
    private int mFailures;
    private int mRowLimit = MAXIMUM_ROWS;

    /** Entries that one transaction carries. */
    record Batch(OperationId operation, long sentNanos, List<LedgerEntry> entries) {}

    LedgerBatches(LedgerSettings settings, UniformRandomProvider random) {
        mSettings = settings;
        mRandom = random;
    }

    void add(LedgerEntry entry, long nowNanos) {
        entry.mQueuedNanos = nowNanos;
        queueOf(entry).addLast(entry);
    }

    /** Takes back an entry that no transaction carries. */
    void remove(LedgerEntry entry) {
        queueOf(entry).remove(entry);
    }

    private ArrayDeque<LedgerEntry> queueOf(LedgerEntry entry) {
        return entry.mPhase == LedgerEntry.Phase.CLAIMING ? mClaims : mRecords;
    }

    List<InstanceAction> send(long nowNanos) {
        List<InstanceAction> actions = new ArrayList<>();
        while (sendDueNanos() <= nowNanos) {
            actions.add(sendOne(nowNanos));
        }
        return actions;
    }

    /** When the next transaction may go out. */
    long sendDueNanos() {
        if (mClaims.isEmpty() && mRecords.isEmpty() || mOutstanding.size() >= MAXIMUM_OUTSTANDING) {
            return Long.MAX_VALUE;
        }
        return Math.max(mNoSendBeforeNanos, gatheredNanos());
    }

    private long gatheredNanos() {
        if (mClaims.size() + mRecords.size() >= mRowLimit) {
            return Long.MIN_VALUE;
        }
        long due = Long.MAX_VALUE;
        if (!mClaims.isEmpty()) {
            long window = mOutstanding.isEmpty() ? 0 : mSettings.claimWindow().toNanos();
            due = mClaims.getFirst().mQueuedNanos + window;
        }
        if (!mRecords.isEmpty()) {
            long window = mSettings.recordWindow().toNanos();
            due = Math.min(due, mRecords.getFirst().mQueuedNanos + window);
        }
        return due;
    }

    private InstanceAction sendOne(long nowNanos) {
        List<LedgerEntry> entries = new ArrayList<>();
        // Half of a full transaction is left to results, so that claims can't crowd them out.
        int kept = Math.min(mRecords.size(), mRowLimit / 2);
        int characters = take(mClaims, mRowLimit - kept, entries, 0);
        take(mRecords, mRowLimit, entries, characters);
        entries.forEach(entry -> entry.mInFlight = true);
        OperationId operation = new OperationId(Component.LEDGER, ++mOperationCount);
        mOutstanding.put(operation, new Batch(operation, nowNanos, entries));
        mNoSendBeforeNanos = nowNanos + mSettings.spacing().toNanos();
        return new InstanceAction.CommitTable(
                operation,
                new TableTransaction(
                        entries.stream().map(LedgerEntry::condition).toList(),
                        entries.stream().map(LedgerEntry::write).toList()));
    }

    private int take(
            ArrayDeque<LedgerEntry> queue, int limit, List<LedgerEntry> entries, int characters) {
        int total = characters;
        while (!queue.isEmpty() && entries.size() < limit) {
            total += queue.getFirst().size();
            if (total > MAXIMUM_CHARACTERS && !entries.isEmpty()) {
                return total;
            }
            entries.add(queue.removeFirst());
        }
        return total;
    }

    Optional<Batch> answered(OperationId operation) {
        Optional<Batch> batch = Optional.ofNullable(mOutstanding.remove(operation));
        batch.ifPresent(each -> each.entries().forEach(entry -> entry.mInFlight = false));
        return batch;
    }

    List<Batch> takeTimedOut(long nowNanos) {
        long oldest = nowNanos - mSettings.answerTimeout().toNanos();
        List<Batch> late =
                mOutstanding.values().stream()
                        .filter(batch -> batch.sentNanos() <= oldest)
                        .sorted(
                                (left, right) ->
                                        Long.compare(
                                                left.operation().number(),
                                                right.operation().number()))
                        .toList();
        late.forEach(batch -> answered(batch.operation()));
        return late;
    }

    void succeeded() {
        mFailures = 0;
        mRowLimit = Math.min(MAXIMUM_ROWS, mRowLimit * 2);
    }

    void failed(long nowNanos) {
        mFailures = Math.min(MAXIMUM_DOUBLINGS, mFailures + 1);
        mRowLimit = Math.max(1, mRowLimit / 2);
        long longest = FIRST_BACKOFF_NANOS << (mFailures - 1);
        long backoff = longest / 2 + (long) (mRandom.nextDouble() * longest / 2);
        mNoSendBeforeNanos = Math.max(mNoSendBeforeNanos, nowNanos + backoff);
    }

    /** When something is due: a transaction, or the end of the wait for an answer. */
    long nextWakeNanos() {
        long due = sendDueNanos();
        for (Batch batch : mOutstanding.values()) {
            due = Math.min(due, batch.sentNanos() + mSettings.answerTimeout().toNanos());
        }
        return due;
    }
}
