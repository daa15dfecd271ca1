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
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.OperationId;
import org.wasabilug.internal.event.Part;
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
 * Rights to order the engines of pools, each held by one instance under its session lease. The
 * right counts only from the committed answer of a write under the present epoch.
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
            PoolOwnership right,
            PoolOwnershipRow value,
            long replacedVersion) {}

    PoolOwnerships(HeldLease lease, UniformRandomProvider random, ReconcilerSettings settings) {
        mLease = lease;
        mRandom = random;
        mSettings = settings;
        mObserver = new LeaseObserver(lease.settings());
    }

    /** Competes for the rights over these pools only. */
    void setPools(Set<PoolName> pools) {
        mOwnerships.keySet().retainAll(pools);
        pools.forEach(pool -> mOwnerships.computeIfAbsent(pool, PoolOwnership::new));
    }

    /** Fencing number under which the pool's engines may be ordered at this moment. */
    Optional<Long> fencingNumber(PoolName pool, long nowNanos) {
        return Optional.ofNullable(mOwnerships.get(pool))
                .filter(right -> mLease.isHeld(nowNanos))
                .filter(right -> right.mHeldEpoch == mLease.epoch())
                .map(right -> right.mValue.fencingNumber());
    }

    /** An engine has seen a number; where it is above the own one, the right is taken anew. */
    void observeFencingNumber(PoolName pool, long number) {
        PoolOwnership right = mOwnerships.get(pool);
        if (right != null && number > right.mHighestSeenNumber) {
            right.mHighestSeenNumber = number;
            if (number > right.mValue.fencingNumber()) {
                right.mHeldEpoch = 0;
            }
        }
    }

    List<InstanceAction> tick(long nowNanos) {
        expireRequests(nowNanos);
        boolean idle = mOwnerships.isEmpty() || mRead.isPresent() || nowNanos < mNextReadNanos;
        if (idle || !mLease.isHeld(nowNanos)) {
            return List.of();
        }
        long look = mSettings.ownershipReadInterval().toNanos();
        mNextReadNanos = nowNanos + look / 2 + (long) (mRandom.nextDouble() * look);
        Set<RowKey> keys = new LinkedHashSet<>();
        for (PoolOwnership right : mOwnerships.values()) {
            keys.add(right.mKey);
            if (!right.mValue.holder().isEmpty()) {
                keys.add(LeaseRow.keyOf(new InstanceName(right.mValue.holder())));
            }
        }
        OperationId operation = nextOperation();
        mRead = Optional.of(new SentRead(operation, nowNanos, keys));
        return List.of(
                new InstanceAction.ReadTable(operation, new TableRead.Points(List.copyOf(keys))));
    }

    private OperationId nextOperation() {
        return new OperationId(Part.ORDERS, ++mOperationCount);
    }

    private void expireRequests(long nowNanos) {
        long oldest = nowNanos - ANSWER_TIMEOUT_NANOS;
        mRead = mRead.filter(read -> read.sentNanos() > oldest);
        List<SentWrite> late =
                mWrites.values().stream()
                        .filter(write -> write.sentNanos() <= oldest)
                        .sorted(Comparator.comparing(write -> write.operation().number()))
                        .toList();
        late.forEach(write -> onWriteAnswer(write, new CommitOutcome.Unknown()));
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
        for (PoolOwnership right : mOwnerships.values()) {
            if (read.keys().contains(right.mKey)) {
                applyRow(right, Optional.ofNullable(byKey.get(right.mKey)));
                if (mayAcquire(right) && mLease.isHeld(nowNanos)) {
                    actions.add(acquire(right, nowNanos));
                }
            }
        }
        return actions;
    }

    private void applyRow(PoolOwnership right, Optional<Row> row) {
        if (row.isPresent() && row.get().version() > right.mVersion) {
            right.mVersion = row.get().version();
            right.mValue = PoolOwnershipRow.of(row.get());
            right.mHeldEpoch = 0;
        }
        right.mUpToDate = true;
    }

    private boolean mayAcquire(PoolOwnership right) {
        if (!right.mUpToDate || right.mWriteInFlight || right.mHeldEpoch == mLease.epoch()) {
            return false;
        }
        PoolOwnershipRow value = right.mValue;
        return value.holder().isEmpty()
                || value.incarnation().equals(mLease.incarnation())
                || mObserver
                        .endedSince(new InstanceName(value.holder()), value.epoch())
                        .isPresent();
    }

    private InstanceAction acquire(PoolOwnership right, long nowNanos) {
        PoolOwnershipRow value =
                new PoolOwnershipRow(
                        mLease.instance().value(),
                        mLease.incarnation(),
                        mLease.epoch(),
                        right.nextFencingNumber());
        OperationId operation = nextOperation();
        right.mWriteInFlight = true;
        mWrites.put(operation, new SentWrite(operation, nowNanos, right, value, right.mVersion));
        RowCondition condition =
                right.mVersion == 0
                        ? new RowCondition.Absent(right.mKey)
                        : new RowCondition.VersionIs(right.mKey, right.mVersion);
        return new InstanceAction.CommitTable(
                operation,
                new TableTransaction(
                        List.of(condition),
                        List.of(new RowWrite.Put(right.mKey, RowJson.write(value)))));
    }

    private void onWriteAnswer(SentWrite write, CommitOutcome outcome) {
        mWrites.remove(write.operation());
        PoolOwnership right = write.right();
        right.mWriteInFlight = false;
        if (outcome instanceof CommitOutcome.Committed
                && right.mVersion <= write.replacedVersion() + 1) {
            right.mVersion = write.replacedVersion() + 1;
            right.mValue = write.value();
            right.mHeldEpoch = write.value().epoch();
        } else if (outcome instanceof CommitOutcome.Rejected rejected) {
            applyRow(right, rejected.current().stream().findFirst());
        } else {
            right.mUpToDate = false;
        }
    }

    long nextWakeNanos() {
        return mNextReadNanos;
    }
}
