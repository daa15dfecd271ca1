package org.wasabilug.internal.lease;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.event.Component;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.OperationId;
import org.wasabilug.internal.table.RowJson;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ReadOutcome;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowCondition;
import org.wasabilug.port.RowKey;
import org.wasabilug.port.RowWrite;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.TableTransaction;

/**
 * Lease on the name of an instance, held through one row of the table service.
 *
 * <p>The holder counts the term from before it sent the renewal that committed. A session ends
 * permanently once its term has expired, even if a renewal commits afterwards; the next session has
 * a higher epoch. A process that finds the row held by another process waits a whole term plus a
 * margin, on its local clock, after it last saw the row change.
 */
public final class SessionLease implements HeldLease {
    private static final double JITTER_FRACTION = 0.1;
    private static final int RETRIES_PER_RENEWAL = 6;
    private static final int MAX_DOUBLINGS = 4;
    private static final int READS_PER_RENEWAL = 3;

    private final InstanceName mInstance;
    private final RowKey mKey;
    private final String mIncarnation;
    private final UniformRandomProvider mRandom;
    private final LeaseSettings mSettings;
    private final LeaseObserver mObserver;
    private long mOperationCount;
    private Optional<SentRequest> mOutstanding = Optional.empty();
    private Optional<Row> mRow = Optional.empty();
    private boolean mRowKnown;
    private boolean mWriteOutcomeUnknown;
    private long mUnknownSinceNanos;
    private long mNextStepNanos = Long.MIN_VALUE;
    private int mFailures;
    private boolean mReleasing;
    private boolean mReleased;
    private long mEpoch;
    private boolean mHeld;
    private long mExpiryNanos;

    /** An outstanding request to the table service; a read has no value. */
    private record SentRequest(OperationId operation, long sentNanos, Optional<LeaseRow> value) {}

    SessionLease(SessionLeaseBuilder builder) {
        mInstance = builder.mInstance;
        mKey = LeaseRow.keyOf(builder.mInstance);
        mIncarnation = builder.mIncarnation;
        mRandom = builder.mRandom;
        mSettings = builder.mSettings;
        mObserver = new LeaseObserver(builder.mSettings);
    }

    /** Returns a new builder with the default settings. */
    public static SessionLeaseBuilder builder() {
        return new SessionLeaseBuilder();
    }

    @Override
    public long epoch() {
        return mEpoch;
    }

    @Override
    public String incarnation() {
        return mIncarnation;
    }

    @Override
    public InstanceName instance() {
        return mInstance;
    }

    @Override
    public LeaseSettings settings() {
        return mSettings;
    }

    @Override
    public boolean isHeld(long nowNanos) {
        return mHeld && nowNanos < mExpiryNanos;
    }

    /**
     * Returns the time until the lease expires unless it is renewed.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return nanoseconds; 0 if the lease is not held
     */
    public long remainingNanos(long nowNanos) {
        return isHeld(nowNanos) ? mExpiryNanos - nowNanos : 0;
    }

    /** Returns when {@link #tick} must be called next, in nanoseconds of monotonic time. */
    public long nextWakeNanos() {
        return mOutstanding
                .map(sent -> sent.sentNanos() + mSettings.answerTimeout().toNanos())
                .orElse(mReleased ? Long.MAX_VALUE : mNextStepNanos);
    }

    /** Returns whether the lease was released and the table service has confirmed it. */
    public boolean isReleased() {
        return mReleased;
    }

    /**
     * Performs the work that is due.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return requests to the table service
     */
    public List<InstanceAction> tick(long nowNanos) {
        expireSession(nowNanos);
        if (mOutstanding.isPresent() && nowNanos >= nextWakeNanos()) {
            onAnswerTimeout(nowNanos);
        }
        if (mOutstanding.isPresent() || mReleased || nowNanos < mNextStepNanos) {
            return List.of();
        }
        return nextRequest(nowNanos);
    }

    /**
     * Releases the lease. Call this once no call is in flight any more; the lease is not held from
     * then on.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return requests to the table service
     */
    public List<InstanceAction> release(long nowNanos) {
        mReleasing = true;
        mHeld = false;
        mNextStepNanos = nowNanos;
        return tick(nowNanos);
    }

    /**
     * Handles an answer of the table service; other events are ignored.
     *
     * @param event the event
     * @param nowNanos monotonic time, in nanoseconds
     * @return requests to the table service
     */
    public List<InstanceAction> handle(InstanceEvent event, long nowNanos) {
        expireSession(nowNanos);
        switch (event) {
            case InstanceEvent.CommitAnswered answer when isAwaited(answer.operation()) ->
                    onCommit(answer.outcome(), nowNanos);
            case InstanceEvent.ReadAnswered answer when isAwaited(answer.operation()) ->
                    onRead(answer.outcome(), nowNanos);
            default -> {
                return List.of();
            }
        }
        return tick(nowNanos);
    }

    private boolean isAwaited(OperationId operation) {
        return mOutstanding.filter(sent -> sent.operation().equals(operation)).isPresent();
    }

    private void expireSession(long nowNanos) {
        mHeld = isHeld(nowNanos);
    }

    private void onAnswerTimeout(long nowNanos) {
        SentRequest sent = mOutstanding.orElseThrow();
        mOutstanding = Optional.empty();
        if (sent.value().isPresent()) {
            markOutcomeUnknown(sent);
        }
        mNextStepNanos = nowNanos;
    }

    private List<InstanceAction> nextRequest(long nowNanos) {
        if (mHeld) {
            return commit(row(mEpoch, false), nowNanos);
        }
        if (mReleasing) {
            return nextReleaseRequest(nowNanos);
        }
        if (mRowKnown && mayAcquire()) {
            long highest = Math.max(mEpoch, mRow.map(row -> LeaseRow.of(row).epoch()).orElse(0L));
            return commit(row(highest + 1, false), nowNanos);
        }
        return read(nowNanos);
    }

    private List<InstanceAction> nextReleaseRequest(long nowNanos) {
        boolean holdsRow =
                mRow.map(row -> isLocal(row) && !LeaseRow.of(row).released()).orElse(false);
        if (holdsRow || mWriteOutcomeUnknown) {
            long highest = Math.max(mEpoch, mRow.map(row -> LeaseRow.of(row).epoch()).orElse(0L));
            return commit(row(highest + 1, true), nowNanos);
        }
        mReleased = true;
        return List.of();
    }

    private boolean mayAcquire() {
        if (mRow.isEmpty()) {
            return true;
        }
        LeaseRow value = LeaseRow.of(mRow.get());
        return isLocal(mRow.get())
                || value.released()
                || mObserver.endedSince(mInstance, value.epoch()).isPresent();
    }

    private boolean isLocal(Row row) {
        return LeaseRow.of(row).incarnation().equals(mIncarnation);
    }

    private LeaseRow row(long epoch, boolean released) {
        return new LeaseRow(epoch, mIncarnation, mSettings.term().toMillis(), released);
    }

    private List<InstanceAction> read(long nowNanos) {
        OperationId operation = beginRequest(Optional.empty(), nowNanos);
        return List.of(
                new InstanceAction.ReadTable(operation, new TableRead.Points(List.of(mKey))));
    }

    private List<InstanceAction> commit(LeaseRow value, long nowNanos) {
        OperationId operation = beginRequest(Optional.of(value), nowNanos);
        RowCondition condition =
                mRow.<RowCondition>map(row -> new RowCondition.VersionIs(mKey, row.version()))
                        .orElseGet(() -> new RowCondition.Absent(mKey));
        RowWrite write = new RowWrite.Put(mKey, RowJson.write(value));
        return List.of(
                new InstanceAction.CommitTable(
                        operation, new TableTransaction(List.of(condition), List.of(write))));
    }

    private OperationId beginRequest(Optional<LeaseRow> value, long nowNanos) {
        OperationId operation = new OperationId(Component.LEASE, ++mOperationCount);
        mOutstanding = Optional.of(new SentRequest(operation, nowNanos, value));
        return operation;
    }

    private void onCommit(CommitOutcome outcome, long nowNanos) {
        SentRequest sent = mOutstanding.orElseThrow();
        mOutstanding = Optional.empty();
        switch (outcome) {
            case CommitOutcome.Committed ignored -> {
                long version = mRow.map(Row::version).orElse(0L) + 1;
                Row row = new Row(mKey, RowJson.write(sent.value().orElseThrow()), version);
                applyLocalRow(row, sent.sentNanos(), nowNanos);
            }
            case CommitOutcome.Rejected rejected -> onRejected(rejected, nowNanos);
            case CommitOutcome.NotSent ignored -> mNextStepNanos = nowNanos + retryNanos();
            case CommitOutcome.Unknown ignored -> {
                markOutcomeUnknown(sent);
                mNextStepNanos = nowNanos + retryNanos();
            }
        }
    }

    private void markOutcomeUnknown(SentRequest sent) {
        if (!mWriteOutcomeUnknown) {
            mUnknownSinceNanos = sent.sentNanos();
        }
        mWriteOutcomeUnknown = true;
    }

    /**
     * Every write with unknown outcome was conditional on an older version than the row now has, so
     * none of them can still commit.
     */
    private void onRejected(CommitOutcome.Rejected rejected, long nowNanos) {
        boolean outcomeWasUnknown = mWriteOutcomeUnknown;
        mWriteOutcomeUnknown = false;
        mRow = rejected.current().stream().filter(row -> row.key().equals(mKey)).findFirst();
        mNextStepNanos = nowNanos;
        if (mRow.isPresent() && isLocal(mRow.get()) && outcomeWasUnknown) {
            applyLocalRow(mRow.get(), mUnknownSinceNanos, nowNanos);
            mNextStepNanos = nowNanos;
        } else {
            mHeld = false;
            mRowKnown = mRow.map(this::isLocal).orElse(true);
        }
    }

    private void applyLocalRow(Row row, long sentNanos, long nowNanos) {
        LeaseRow value = LeaseRow.of(row);
        mRow = Optional.of(row);
        mFailures = 0;
        mWriteOutcomeUnknown = false;
        mNextStepNanos = nowNanos;
        long expiry = sentNanos + mSettings.term().toNanos() - mSettings.safetyMargin().toNanos();
        boolean continuesSession = mHeld && value.epoch() == mEpoch;
        boolean opensSession = value.epoch() > mEpoch && !mReleasing && !value.released();
        mEpoch = Math.max(mEpoch, value.epoch());
        if ((continuesSession || opensSession) && nowNanos < expiry) {
            mExpiryNanos = continuesSession ? Math.max(expiry, mExpiryNanos) : expiry;
            mHeld = true;
            mNextStepNanos = nowNanos + withJitter(mSettings.renewalInterval().toNanos());
        }
    }

    private void onRead(ReadOutcome outcome, long nowNanos) {
        SentRequest sent = mOutstanding.orElseThrow();
        mOutstanding = Optional.empty();
        if (!(outcome instanceof ReadOutcome.Rows rows)) {
            mNextStepNanos = nowNanos + retryNanos();
            return;
        }
        Optional<Row> row = rows.rows().stream().filter(each -> each.key().equals(mKey)).findAny();
        if (mRow.isPresent() && row.map(Row::version).orElse(0L) < mRow.get().version()) {
            mNextStepNanos = nowNanos + retryNanos();
            return;
        }
        mRow = row;
        mFailures = 0;
        mRowKnown = true;
        mObserver.observe(mInstance, row, sent.sentNanos(), nowNanos);
        mNextStepNanos =
                mayAcquire()
                        ? nowNanos
                        : nowNanos
                                + withJitter(
                                        mSettings.renewalInterval().toNanos() / READS_PER_RENEWAL);
    }

    /**
     * Returns the backoff before a retry. It grows up to the renewal interval, to avoid a
     * thundering herd when an outage ends.
     */
    private long retryNanos() {
        long initialNanos = mSettings.renewalInterval().toNanos() / RETRIES_PER_RENEWAL;
        long waitNanos = Math.min(mSettings.renewalInterval().toNanos(), initialNanos << mFailures);
        mFailures = Math.min(MAX_DOUBLINGS, mFailures + 1);
        return withJitter(waitNanos);
    }

    private long withJitter(long nanos) {
        return (long) (nanos * (1 - JITTER_FRACTION + 2 * JITTER_FRACTION * mRandom.nextDouble()));
    }
}
