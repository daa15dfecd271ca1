package org.wasabilug.internal.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.OperationId;
import org.wasabilug.internal.ticket.TicketRows;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ObjectOutcome;
import org.wasabilug.port.ReadOutcome;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowCondition;
import org.wasabilug.port.RowKey;
import org.wasabilug.port.RowWrite;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.TableTransaction;

/**
 * Writes a snapshot once the feed has grown enough since the last one, then removes old feed rows.
 *
 * <p>Each instance waits for a random delay and then checks whether another instance has already
 * written the snapshot. Concurrent writes are harmless: both snapshots are valid, and readers catch
 * up from the older one through the feed.
 */
final class SnapshotWriter {
    static final int ENTRIES_PER_SNAPSHOT = 500;
    static final int RETAINED_ENTRIES = 2_000;
    private static final int ROWS_PER_COMPACTION = 100;
    private static final long MAX_DELAY_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long ANSWER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final RowKey SNAPSHOT_ROW = new RowKey("feed-head", "snapshot");

    private final UniformRandomProvider mRandom;
    private final OperationNumbers mOperations;
    private Phase mPhase = Phase.IDLE;
    private long mOperation;
    private long mDueNanos;
    private long mSnapshotSequence;
    private long mWrittenSequence;
    private Optional<Row> mSnapshotRow = Optional.empty();

    SnapshotWriter(UniformRandomProvider random, OperationNumbers operations) {
        mRandom = random;
        mOperations = operations;
    }

    void recordSnapshot(long sequence) {
        mSnapshotSequence = Math.max(mSnapshotSequence, sequence);
    }

    /**
     * Starts or continues a snapshot if it is due; the configuration must include the feed up to
     * the sequence number.
     */
    List<InstanceAction> tick(long sequence, long nowNanos) {
        boolean due = nowNanos - mDueNanos >= 0;
        return switch (mPhase) {
            case IDLE -> {
                if (sequence - mSnapshotSequence >= ENTRIES_PER_SNAPSHOT) {
                    mPhase = Phase.WAITING;
                    mDueNanos = nowNanos + mRandom.nextLong(MAX_DELAY_NANOS);
                }
                yield List.of();
            }
            case WAITING -> due ? check(nowNanos) : List.of();
            case CHECKING, WRITING, RECORDING, LISTING, REMOVING -> {
                if (due) {
                    mPhase = Phase.IDLE;
                }
                yield List.of();
            }
        };
    }

    private List<InstanceAction> check(long nowNanos) {
        OperationId operation = begin(Phase.CHECKING, nowNanos);
        return List.of(
                new InstanceAction.ReadTable(
                        operation, new TableRead.Points(List.of(SNAPSHOT_ROW))));
    }

    private OperationId begin(Phase phase, long nowNanos) {
        mPhase = phase;
        mDueNanos = nowNanos + ANSWER_TIMEOUT_NANOS;
        OperationId operation = mOperations.next();
        mOperation = operation.number();
        return operation;
    }

    /** Handles an answer; answers to other operations are ignored. */
    List<InstanceAction> handle(
            InstanceEvent event, Configuration configuration, long sequence, long nowNanos) {
        return switch (event) {
            case InstanceEvent.ReadAnswered answered when isCurrent(answered.operation()) ->
                    onRead(answered.outcome(), configuration, sequence, nowNanos);
            case InstanceEvent.CommitAnswered answered when isCurrent(answered.operation()) ->
                    onCommit(answered.outcome(), nowNanos);
            case InstanceEvent.ObjectAnswered answered when isCurrent(answered.operation()) ->
                    onWritten(answered.outcome(), nowNanos);
            default -> List.of();
        };
    }

    private boolean isCurrent(OperationId operation) {
        return operation.number() == mOperation;
    }

    private List<InstanceAction> onRead(
            ReadOutcome outcome, Configuration configuration, long sequence, long nowNanos) {
        if (!(outcome instanceof ReadOutcome.Rows rows)) {
            return abort();
        }
        return mPhase == Phase.CHECKING
                ? onChecked(rows.rows(), configuration, sequence, nowNanos)
                : remove(rows.rows(), nowNanos);
    }

    private List<InstanceAction> onChecked(
            List<Row> rows, Configuration configuration, long sequence, long nowNanos) {
        mSnapshotRow = rows.stream().findFirst();
        mSnapshotRow.ifPresent(row -> recordSnapshot(TicketRows.sequenceOf(row)));
        if (sequence - mSnapshotSequence < ENTRIES_PER_SNAPSHOT) {
            return abort();
        }
        mWrittenSequence = sequence;
        OperationId operation = begin(Phase.WRITING, nowNanos);
        return List.of(
                new InstanceAction.WriteObject(
                        operation,
                        FeedFollower.SNAPSHOT_NAME,
                        SnapshotCodec.write(configuration, sequence)));
    }

    private List<InstanceAction> onWritten(ObjectOutcome outcome, long nowNanos) {
        if (!(outcome instanceof ObjectOutcome.Written)) {
            return abort();
        }
        RowCondition condition =
                mSnapshotRow
                        .<RowCondition>map(
                                row -> new RowCondition.VersionIs(SNAPSHOT_ROW, row.version()))
                        .orElse(new RowCondition.Absent(SNAPSHOT_ROW));
        RowWrite write = new RowWrite.Put(SNAPSHOT_ROW, TicketRows.sequenceValue(mWrittenSequence));
        return List.of(
                new InstanceAction.CommitTable(
                        begin(Phase.RECORDING, nowNanos),
                        new TableTransaction(List.of(condition), List.of(write))));
    }

    private List<InstanceAction> onCommit(CommitOutcome outcome, long nowNanos) {
        if (!(outcome instanceof CommitOutcome.Committed)) {
            return abort();
        }
        recordSnapshot(mWrittenSequence);
        OperationId operation = begin(Phase.LISTING, nowNanos);
        return List.of(
                new InstanceAction.ReadTable(
                        operation,
                        new TableRead.Range(TicketRows.FEED_TABLE, "", ROWS_PER_COMPACTION)));
    }

    private List<InstanceAction> remove(List<Row> rows, long nowNanos) {
        String lastRemoved = TicketRows.feedKey(Math.max(0, mWrittenSequence - RETAINED_ENTRIES));
        List<RowWrite> removals = new ArrayList<>();
        rows.stream()
                .map(Row::key)
                .filter(key -> key.key().compareTo(lastRemoved) <= 0)
                .forEach(key -> removals.add(new RowWrite.Delete(key)));
        if (removals.isEmpty()) {
            return abort();
        }
        return List.of(
                new InstanceAction.CommitTable(
                        begin(Phase.REMOVING, nowNanos),
                        new TableTransaction(List.of(), removals)));
    }

    private List<InstanceAction> abort() {
        mPhase = Phase.IDLE;
        mOperation = 0;
        return List.of();
    }

    private enum Phase {
        IDLE,
        WAITING,
        CHECKING,
        WRITING,
        RECORDING,
        LISTING,
        REMOVING
    }
}
