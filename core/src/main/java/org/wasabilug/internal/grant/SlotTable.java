package org.wasabilug.internal.grant;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.event.Component;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.OperationId;
import org.wasabilug.internal.lease.HeldLease;
import org.wasabilug.internal.lease.LeaseObserver;
import org.wasabilug.internal.lease.LeaseRow;
import org.wasabilug.internal.table.RowJson;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ReadOutcome;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowKey;
import org.wasabilug.port.RowWrite;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.TableTransaction;

/** Reads and writes the rows of cold-start slots. */
final class SlotTable {
    private static final int MAXIMUM_KEYS = 100;
    private static final long ANSWER_TIMEOUT_NANOS = 2_000_000_000L;
    private static final long DOUBT_NANOS = 30_000_000_000L;

    /** A call of an ended session may reach its endpoint this much later. */
    private static final long TRANSIT_NANOS = 1_000_000_000L;

    private final GrantSettings mSettings;
    private final HeldLease mLease;
    private final UniformRandomProvider mRandom;
    private final LeaseObserver mObserver;
    private final Map<OperationId, SentWrite> mWrites = new HashMap<>();
    private Optional<SentRead> mRead = Optional.empty();
    private long mOperationCount;

    private record SentRead(
            OperationId operation,
            long sentNanos,
            List<EndpointSlots> endpoints,
            Set<RowKey> keys) {}

    private record SentWrite(
            OperationId operation,
            long sentNanos,
            Slot slot,
            SlotRow value,
            long replacedVersion) {}

    SlotTable(ColdStartGrantsBuilder builder) {
        mSettings = builder.mSettings;
        mLease = builder.mLease;
        mRandom = builder.mRandom;
        mObserver = new LeaseObserver(builder.mLease.settings());
    }

    /** Counts requests without an answer in time as lost. */
    void forgetLateAnswers(long nowNanos) {
        long oldest = nowNanos - ANSWER_TIMEOUT_NANOS;
        mRead = mRead.filter(read -> read.sentNanos() > oldest);
        List<SentWrite> late =
                mWrites.values().stream()
                        .filter(write -> write.sentNanos() <= oldest)
                        .sorted(Comparator.comparing(write -> write.operation().number()))
                        .toList();
        late.forEach(write -> answered(write, new CommitOutcome.Unknown(), nowNanos));
    }

    /** Reads the slots of the endpoints, and the leases of those who hold them. */
    List<InstanceAction> read(List<EndpointSlots> endpoints, long nowNanos) {
        if (mRead.isPresent()) {
            return List.of();
        }
        Set<RowKey> keys = new LinkedHashSet<>();
        List<EndpointSlots> read = new ArrayList<>();
        for (EndpointSlots slots : endpoints) {
            if (keys.size() < MAXIMUM_KEYS) {
                read.add(slots);
                addKeys(slots, keys);
            }
        }
        if (keys.isEmpty()) {
            return List.of();
        }
        OperationId operation = nextOperation();
        mRead = Optional.of(new SentRead(operation, nowNanos, read, keys));
        return List.of(
                new InstanceAction.ReadTable(operation, new TableRead.Points(List.copyOf(keys))));
    }

    private void addKeys(EndpointSlots slots, Set<RowKey> keys) {
        for (Slot slot : slots.mSlots) {
            keys.add(slot.mKey);
            if (!slot.mValue.isFree()) {
                keys.add(LeaseRow.keyOf(new InstanceName(slot.mValue.holder())));
            }
        }
    }

    private OperationId nextOperation() {
        return new OperationId(Component.GRANTS, ++mOperationCount);
    }

    /** Takes the answer to a read; tells which endpoints it brought up to date. */
    List<EndpointSlots> readAnswered(OperationId operation, ReadOutcome outcome, long nowNanos) {
        if (mRead.filter(read -> read.operation().equals(operation)).isEmpty()) {
            return List.of();
        }
        SentRead read = mRead.get();
        mRead = Optional.empty();
        if (!(outcome instanceof ReadOutcome.Rows rows)) {
            return List.of();
        }
        Map<RowKey, Row> byKey =
                rows.rows().stream().collect(Collectors.toMap(Row::key, Function.identity()));
        read.keys().stream()
                .filter(key -> key.table().equals(LeaseRow.TABLE))
                .forEach(key -> observe(key, byKey, read.sentNanos(), nowNanos));
        for (EndpointSlots slots : read.endpoints()) {
            slots.mSlots.stream()
                    .filter(slot -> read.keys().contains(slot.mKey))
                    .forEach(slot -> slot.learn(Optional.ofNullable(byKey.get(slot.mKey))));
        }
        return read.endpoints();
    }

    private void observe(RowKey key, Map<RowKey, Row> byKey, long sentNanos, long nowNanos) {
        mObserver.observe(
                new InstanceName(key.key()),
                Optional.ofNullable(byKey.get(key)),
                sentNanos,
                nowNanos);
    }

    /** Tells whether nobody else can have a call in flight under the slot. */
    boolean isTakable(Slot slot, long nowNanos) {
        if (!slot.mRead || slot.mWriteInFlight || slot.mHeldEpoch == mLease.epoch()) {
            return false;
        }
        SlotRow value = slot.mValue;
        if (value.isFree() || isOwn(slot)) {
            return true;
        }
        OptionalLong ended = mObserver.endedSince(new InstanceName(value.holder()), value.epoch());
        long wait = mSettings.longestCall().toNanos() + TRANSIT_NANOS;
        return ended.isPresent() && nowNanos >= ended.getAsLong() + wait;
    }

    /** Tells whether the row names this process. */
    boolean isOwn(Slot slot) {
        return slot.mValue.incarnation().equals(mLease.incarnation());
    }

    /** Takes one of the slots, a random one so that instances rarely collide. */
    InstanceAction take(List<Slot> takable, long generation, long nowNanos) {
        Slot slot =
                takable.stream()
                        .filter(this::isOwn)
                        .findFirst()
                        .orElseGet(() -> takable.get(mRandom.nextInt(takable.size())));
        return write(
                slot,
                new SlotRow(
                        mLease.instance().value(),
                        mLease.incarnation(),
                        mLease.epoch(),
                        generation),
                nowNanos);
    }

    /** Gives a slot back. */
    InstanceAction giveBack(Slot slot, long nowNanos) {
        slot.mHeldEpoch = 0;
        return write(slot, SlotRow.FREE, nowNanos);
    }

    private InstanceAction write(Slot slot, SlotRow value, long nowNanos) {
        OperationId operation = nextOperation();
        slot.mWriteInFlight = true;
        mWrites.put(operation, new SentWrite(operation, nowNanos, slot, value, slot.mVersion));
        return new InstanceAction.CommitTable(
                operation,
                new TableTransaction(
                        List.of(slot.condition()),
                        List.of(new RowWrite.Put(slot.mKey, RowJson.write(value)))));
    }

    /** Takes the answer to a write. */
    void writeAnswered(OperationId operation, CommitOutcome outcome, long nowNanos) {
        SentWrite write = mWrites.get(operation);
        if (write != null) {
            answered(write, outcome, nowNanos);
        }
    }

    private void answered(SentWrite write, CommitOutcome outcome, long nowNanos) {
        mWrites.remove(write.operation());
        Slot slot = write.slot();
        slot.mWriteInFlight = false;
        switch (outcome) {
            case CommitOutcome.Committed ignored -> committed(write, nowNanos);
            case CommitOutcome.Rejected rejected ->
                    slot.learn(
                            rejected.current().stream()
                                    .filter(row -> row.key().equals(slot.mKey))
                                    .findFirst());
            case CommitOutcome.NotSent ignored -> slot.doubt(nowNanos, nowNanos + DOUBT_NANOS);
            case CommitOutcome.Unknown ignored -> slot.doubt(nowNanos, nowNanos + DOUBT_NANOS);
        }
    }

    private void committed(SentWrite write, long nowNanos) {
        Slot slot = write.slot();
        slot.wrote(write.value(), write.replacedVersion());
        boolean current =
                slot.mVersion == write.replacedVersion() + 1
                        && write.value().epoch() == mLease.epoch();
        if (!write.value().isFree() && current && mLease.isHeld(nowNanos)) {
            slot.mHeldEpoch = mLease.epoch();
            slot.mTakenNanos = nowNanos;
        }
    }

    /** When an answer counts as lost. */
    long answerDueNanos() {
        long due =
                mRead.map(read -> read.sentNanos() + ANSWER_TIMEOUT_NANOS).orElse(Long.MAX_VALUE);
        for (SentWrite write : mWrites.values()) {
            due = Math.min(due, write.sentNanos() + ANSWER_TIMEOUT_NANOS);
        }
        return due;
    }
}
