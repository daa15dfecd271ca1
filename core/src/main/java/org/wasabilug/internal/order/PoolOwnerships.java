package org.wasabilug.internal.order;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.event.Component;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.OperationId;
import org.wasabilug.internal.lease.HeldLease;
import org.wasabilug.internal.lease.LeaseObserver;
import org.wasabilug.internal.lease.LeaseRow;
import org.wasabilug.internal.table.RowJson;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.PoolName;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ReadOutcome;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowCondition;
import org.wasabilug.port.RowKey;
import org.wasabilug.port.RowWrite;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.TableTransaction;

/**
 * Acquires the ownership of pools under this instance's session lease. A pool has at most one
 * owner. Ownership starts only when a write under the current epoch is known to have committed.
 */
final class PoolOwnerships {
    private static final long ANSWER_TIMEOUT_NANOS = 2_000_000_000L;

    private final HeldLease mLease;
    private final LeaseObserver mObserver;
    private final UniformRandomProvider mRandom;
    private final ReconcilerSettings mSettings;
    private final Map<PoolName, PoolOwnership> mOwnerships = new TreeMap<>();
    private final Map<OperationId, SentWrite> mWrites = new HashMap<>();
    private Optional<SentRead> mRead = Optional.empty();
    private long mNextReadNanos = Long.MIN_VALUE;
    private long mOperationCount;

    private record SentRead(OperationId operation, long sentNanos, Set<RowKey> keys) {}

    private record SentWrite(
            OperationId operation,
            long sentNanos,
            PoolOwnership ownership,
            PoolOwnershipRow value,
            long replacedVersion) {}

    PoolOwnerships(HeldLease lease, UniformRandomProvider random, ReconcilerSettings settings) {
        mLease = lease;
        mRandom = random;
        mSettings = settings;
        mObserver = new LeaseObserver(lease.settings());
    }

    /** Sets the pools whose ownership this instance competes for. */
    void setPools(Set<PoolName> pools) {
        mOwnerships.keySet().retainAll(pools);
        pools.forEach(pool -> mOwnerships.computeIfAbsent(pool, PoolOwnership::new));
    }

    /**
     * Returns the fencing number for orders to the pool's engines; empty if the pool is not owned
     * now.
     */
    Optional<Long> fencingNumber(PoolName pool, long nowNanos) {
        return Optional.ofNullable(mOwnerships.get(pool))
                .filter(ownership -> mLease.isHeld(nowNanos))
                .filter(ownership -> ownership.mHeldEpoch == mLease.epoch())
                .map(ownership -> ownership.mValue.fencingNumber());
    }

    /**
     * Records a fencing number that an engine has reported. If it exceeds the local one, the
     * ownership must be acquired again with a higher number.
     */
    void observeFencingNumber(PoolName pool, long number) {
        PoolOwnership ownership = mOwnerships.get(pool);
        if (ownership != null && number > ownership.mHighestSeenNumber) {
            ownership.mHighestSeenNumber = number;
            if (number > ownership.mValue.fencingNumber()) {
                ownership.mHeldEpoch = 0;
            }
        }
    }

    List<InstanceAction> tick(long nowNanos) {
        expireRequests(nowNanos);
        boolean idle = mOwnerships.isEmpty() || mRead.isPresent() || nowNanos < mNextReadNanos;
        if (idle || !mLease.isHeld(nowNanos)) {
            return List.of();
        }
        long intervalNanos = mSettings.ownershipReadInterval().toNanos();
        mNextReadNanos =
                nowNanos + intervalNanos / 2 + (long) (mRandom.nextDouble() * intervalNanos);
        Set<RowKey> keys = new LinkedHashSet<>();
        for (PoolOwnership ownership : mOwnerships.values()) {
            keys.add(ownership.mKey);
            if (!ownership.mValue.holder().isEmpty()) {
                keys.add(LeaseRow.keyOf(new InstanceName(ownership.mValue.holder())));
            }
        }
        OperationId operation = nextOperation();
        mRead = Optional.of(new SentRead(operation, nowNanos, keys));
        return List.of(
                new InstanceAction.ReadTable(operation, new TableRead.Points(List.copyOf(keys))));
    }

    private OperationId nextOperation() {
        return new OperationId(Component.ORDERS, ++mOperationCount);
    }

    private void expireRequests(long nowNanos) {
        long timedOutNanos = nowNanos - ANSWER_TIMEOUT_NANOS;
        mRead = mRead.filter(read -> read.sentNanos() > timedOutNanos);
        List<SentWrite> timedOut =
                mWrites.values().stream()
                        .filter(write -> write.sentNanos() <= timedOutNanos)
                        .sorted(Comparator.comparing(write -> write.operation().number()))
                        .toList();
        timedOut.forEach(write -> onWriteAnswer(write, new CommitOutcome.Unknown()));
    }

    List<InstanceAction> handle(InstanceEvent event, long nowNanos) {
        if (event instanceof InstanceEvent.ReadAnswered answer
                && mRead.filter(read -> read.operation().equals(answer.operation())).isPresent()) {
            SentRead read = mRead.get();
            mRead = Optional.empty();
            return answer.outcome() instanceof ReadOutcome.Rows rows
                    ? onRows(read, rows.rows(), nowNanos)
                    : List.of();
        }
        if (event instanceof InstanceEvent.CommitAnswered answer) {
            SentWrite write = mWrites.get(answer.operation());
            if (write != null) {
                onWriteAnswer(write, answer.outcome());
            }
        }
        return List.of();
    }

    private List<InstanceAction> onRows(SentRead read, List<Row> rows, long nowNanos) {
        Map<RowKey, Row> byKey =
                rows.stream().collect(Collectors.toMap(Row::key, Function.identity()));
        read.keys().stream()
                .filter(key -> key.table().equals(LeaseRow.TABLE))
                .forEach(
                        key ->
                                mObserver.observe(
                                        new InstanceName(key.key()),
                                        Optional.ofNullable(byKey.get(key)),
                                        read.sentNanos(),
                                        nowNanos));
        List<InstanceAction> actions = new ArrayList<>();
        for (PoolOwnership ownership : mOwnerships.values()) {
            if (read.keys().contains(ownership.mKey)) {
                applyRow(ownership, Optional.ofNullable(byKey.get(ownership.mKey)));
                if (mayAcquire(ownership) && mLease.isHeld(nowNanos)) {
                    actions.add(acquire(ownership, nowNanos));
                }
            }
        }
        return actions;
    }

    private void applyRow(PoolOwnership ownership, Optional<Row> row) {
        if (row.isPresent() && row.get().version() > ownership.mVersion) {
            ownership.mVersion = row.get().version();
            ownership.mValue = PoolOwnershipRow.of(row.get());
            ownership.mHeldEpoch = 0;
        }
        ownership.mUpToDate = true;
    }

    private boolean mayAcquire(PoolOwnership ownership) {
        if (!ownership.mUpToDate
                || ownership.mWriteInFlight
                || ownership.mHeldEpoch == mLease.epoch()) {
            return false;
        }
        PoolOwnershipRow value = ownership.mValue;
        return value.holder().isEmpty()
                || value.incarnation().equals(mLease.incarnation())
                || mObserver
                        .endedSince(new InstanceName(value.holder()), value.epoch())
                        .isPresent();
    }

    private InstanceAction acquire(PoolOwnership ownership, long nowNanos) {
        PoolOwnershipRow value =
                new PoolOwnershipRow(
                        mLease.instance().value(),
                        mLease.incarnation(),
                        mLease.epoch(),
                        ownership.nextFencingNumber());
        OperationId operation = nextOperation();
        ownership.mWriteInFlight = true;
        mWrites.put(
                operation,
                new SentWrite(operation, nowNanos, ownership, value, ownership.mVersion));
        RowCondition condition =
                ownership.mVersion == 0
                        ? new RowCondition.Absent(ownership.mKey)
                        : new RowCondition.VersionIs(ownership.mKey, ownership.mVersion);
        return new InstanceAction.CommitTable(
                operation,
                new TableTransaction(
                        List.of(condition),
                        List.of(new RowWrite.Put(ownership.mKey, RowJson.write(value)))));
    }

    private void onWriteAnswer(SentWrite write, CommitOutcome outcome) {
        mWrites.remove(write.operation());
        PoolOwnership ownership = write.ownership();
        ownership.mWriteInFlight = false;
        if (outcome instanceof CommitOutcome.Committed
                && ownership.mVersion <= write.replacedVersion() + 1) {
            ownership.mVersion = write.replacedVersion() + 1;
            ownership.mValue = write.value();
            ownership.mHeldEpoch = write.value().epoch();
        } else if (outcome instanceof CommitOutcome.Rejected rejected) {
            applyRow(ownership, rejected.current().stream().findFirst());
        } else {
            ownership.mUpToDate = false;
        }
    }

    long nextWakeNanos() {
        return mNextReadNanos;
    }
}
