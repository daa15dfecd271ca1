package org.wasabilug.internal.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ReadOutcome;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowCondition;
import org.wasabilug.port.RowKey;
import org.wasabilug.port.RowWrite;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.TableTransaction;

/** A table service that loses requests and responses and delays transactions and responses. */
public final class FaultyTable {
    private static final long MILLISECOND_NANOS = 1_000_000L;

    private final VirtualTime mTime;
    private final UniformRandomProvider mRandom;
    private final Map<RowKey, Row> mRows = new HashMap<>();
    private double mFaultShare;
    private boolean mDown;
    private int mCommits;
    private int mReads;

    public FaultyTable(VirtualTime time, UniformRandomProvider random, double faultShare) {
        mTime = time;
        mRandom = random;
        mFaultShare = faultShare;
    }

    public void setFaultShare(double share) {
        mFaultShare = share;
    }

    public void setDown(boolean down) {
        mDown = down;
    }

    public int commits() {
        return mCommits;
    }

    public int reads() {
        return mReads;
    }

    public Optional<Row> row(RowKey key) {
        return Optional.ofNullable(mRows.get(key));
    }

    /** Performs an action if it is a request to the table service; ignores other actions. */
    public void perform(InstanceAction action, Consumer<InstanceEvent> answer) {
        if (action instanceof InstanceAction.CommitTable commit) {
            mCommits++;
            commit(
                    commit.transaction(),
                    outcome ->
                            answer.accept(
                                    new InstanceEvent.CommitAnswered(commit.operation(), outcome)));
        } else if (action instanceof InstanceAction.ReadTable read) {
            mReads++;
            read(
                    read.read(),
                    outcome ->
                            answer.accept(
                                    new InstanceEvent.ReadAnswered(read.operation(), outcome)));
        }
    }

    private long randomDelayNanos(int minimumMillis, int maximumMillis) {
        return (minimumMillis + mRandom.nextInt(maximumMillis - minimumMillis)) * MILLISECOND_NANOS;
    }

    private void commit(TableTransaction transaction, Consumer<CommitOutcome> answer) {
        if (mDown) {
            CommitOutcome outcome =
                    mRandom.nextBoolean()
                            ? new CommitOutcome.NotSent()
                            : new CommitOutcome.Unknown();
            mTime.after(randomDelayNanos(1, 900), () -> answer.accept(outcome));
            return;
        }
        if (mRandom.nextDouble() >= mFaultShare) {
            mTime.after(
                    randomDelayNanos(2, 40),
                    () -> {
                        CommitOutcome outcome = apply(transaction);
                        mTime.after(randomDelayNanos(2, 40), () -> answer.accept(outcome));
                    });
            return;
        }
        commitWithFault(transaction, answer);
    }

    private void commitWithFault(TableTransaction transaction, Consumer<CommitOutcome> answer) {
        int fault = mRandom.nextInt(5);
        if (fault == 0) {
            mTime.after(randomDelayNanos(2, 40), () -> answer.accept(new CommitOutcome.NotSent()));
        } else if (fault == 4) {
            mTime.after(
                    randomDelayNanos(2, 40),
                    () -> {
                        CommitOutcome outcome = apply(transaction);
                        mTime.after(randomDelayNanos(1_000, 9_000), () -> answer.accept(outcome));
                    });
        } else {
            mTime.after(
                    randomDelayNanos(500, 1_500), () -> answer.accept(new CommitOutcome.Unknown()));
            if (fault == 2) {
                mTime.after(randomDelayNanos(2, 40), () -> apply(transaction));
            } else if (fault == 3) {
                mTime.after(randomDelayNanos(1_500, 25_000), () -> apply(transaction));
            }
        }
    }

    private void read(TableRead read, Consumer<ReadOutcome> answer) {
        if (mDown || mRandom.nextDouble() < mFaultShare / 2) {
            mTime.after(
                    randomDelayNanos(1, 900), () -> answer.accept(new ReadOutcome.Unavailable()));
            return;
        }
        mTime.after(
                randomDelayNanos(2, 40),
                () -> {
                    ReadOutcome outcome = new ReadOutcome.Rows(rowsOf(read));
                    int maximumMillis = mRandom.nextDouble() < mFaultShare / 2 ? 3_000 : 40;
                    mTime.after(randomDelayNanos(2, maximumMillis), () -> answer.accept(outcome));
                });
    }

    private List<Row> rowsOf(TableRead read) {
        return switch (read) {
            case TableRead.Points points ->
                    points.keys().stream().map(this::row).flatMap(Optional::stream).toList();
            case TableRead.Range range -> throw new UnsupportedOperationException(range.toString());
        };
    }

    private CommitOutcome apply(TableTransaction transaction) {
        List<RowCondition> failed = new ArrayList<>();
        for (RowCondition condition : transaction.conditions()) {
            Optional<Row> row = row(condition.key());
            boolean holds =
                    switch (condition) {
                        case RowCondition.Absent ignored -> row.isEmpty();
                        case RowCondition.VersionIs version ->
                                row.map(Row::version).orElse(0L) == version.version();
                    };
            if (!holds) {
                failed.add(condition);
            }
        }
        if (!failed.isEmpty()) {
            return new CommitOutcome.Rejected(
                    failed,
                    failed.stream()
                            .map(condition -> row(condition.key()))
                            .flatMap(Optional::stream)
                            .toList());
        }
        transaction.writes().forEach(this::write);
        return new CommitOutcome.Committed();
    }

    private void write(RowWrite write) {
        switch (write) {
            case RowWrite.Put put ->
                    mRows.put(
                            put.key(),
                            new Row(
                                    put.key(),
                                    put.value(),
                                    row(put.key()).map(Row::version).orElse(0L) + 1));
            case RowWrite.Delete delete -> mRows.remove(delete.key());
        }
    }
}
