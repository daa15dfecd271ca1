package org.wasabilug.internal.grant;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.Decision;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.lease.HeldLease;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.port.LoadReport;

/**
 * Cold-start grants. The cold limit of an endpoint is divided into slots; each slot is a row of the
 * table service that an instance holds under its session lease.
 *
 * <p>A slot may be used only once a write under the current lease epoch is known to be committed. A
 * slot held by an ended session may be acquired after the maximum call duration, since calls of
 * that session may still be running. Without a held lease no call to a cold endpoint is allowed.
 */
public final class ColdStartGrants implements ColdStartGate {
    private static final int MAXIMUM_DOUBLINGS = 3;

    private final ToIntFunction<EndpointName> mCallsInFlight;
    private final ToIntFunction<EndpointName> mCancelledCalls;
    private final GrantSettings mSettings;
    private final ProofValidity mValidity;
    private final HeldLease mLease;
    private final UniformRandomProvider mRandom;
    private final SlotTable mTable;
    private final Map<EndpointName, EndpointSlots> mEndpoints = new HashMap<>();
    private Configuration mConfiguration = Configuration.empty();
    private long mNextReadNanos = Long.MIN_VALUE;

    ColdStartGrants(ColdStartGrantsBuilder builder) {
        mCallsInFlight = builder.mCallsInFlight;
        mCancelledCalls = builder.mCancelledCalls;
        mSettings = builder.mSettings;
        mValidity = new ProofValidity(mSettings);
        mLease = builder.mLease;
        mRandom = builder.mRandom;
        mTable = new SlotTable(builder);
    }

    /**
     * Creates a builder.
     *
     * @return a builder with default settings
     */
    public static ColdStartGrantsBuilder builder() {
        return new ColdStartGrantsBuilder();
    }

    @Override
    public int allowance(Endpoint endpoint, long nowNanos) {
        EndpointSlots slots = mEndpoints.get(endpoint.name());
        if (slots == null) {
            return 0;
        }
        if (slots.mWarmState.isWarm(nowNanos)) {
            return slots.mWarmState.warmAllowance(endpoint, nowNanos);
        }
        if (!mLease.isHeld(nowNanos) || slots.mWarmState.isDraining(nowNanos)) {
            return 0;
        }
        int usable = slots.usable(mLease.epoch(), endpoint.coldLimit());
        return Math.max(0, usable - mCancelledCalls.applyAsInt(endpoint.name()));
    }

    @Override
    public long maximumCallNanos(EndpointName endpoint, long nowNanos) {
        return isWarm(endpoint, nowNanos) ? Long.MAX_VALUE : mSettings.maximumCall().toNanos();
    }

    /**
     * Returns whether a valid load report proves that an endpoint is warm.
     *
     * @param endpoint the endpoint
     * @param nowNanos current monotonic time, in nanoseconds
     * @return false also for an endpoint without reports
     */
    public boolean isWarm(EndpointName endpoint, long nowNanos) {
        EndpointSlots slots = mEndpoints.get(endpoint);
        return slots != null && slots.mWarmState.isWarm(nowNanos);
    }

    /**
     * Sets the interval at which every watched endpoint is polled for a load report.
     *
     * @param roundNanos time between two polls of one endpoint, in nanoseconds
     */
    public void setReportInterval(long roundNanos) {
        mValidity.setReportInterval(roundNanos);
    }

    /**
     * Records a load report.
     *
     * @param endpoint endpoint that sent it
     * @param report the report
     * @param nowNanos current monotonic time, in nanoseconds
     */
    public void recordLoadReport(EndpointName endpoint, LoadReport report, long nowNanos) {
        int localCalls = mCallsInFlight.applyAsInt(endpoint);
        slotsOf(endpoint).mWarmState.recordLoadReport(report, localCalls, nowNanos);
    }

    /**
     * Records that an endpoint may have restarted, since a connection was refused or lost.
     *
     * @param endpoint the endpoint
     * @param nowNanos current monotonic time, in nanoseconds
     */
    public void recordPossibleRestart(EndpointName endpoint, long nowNanos) {
        slotsOf(endpoint).mWarmState.recordPossibleRestart(nowNanos);
    }

    /**
     * Records that this instance would send a call to the endpoint if it held another slot.
     *
     * @param endpoint the endpoint
     * @param nowNanos current monotonic time, in nanoseconds
     */
    public void recordDemand(EndpointName endpoint, long nowNanos) {
        slotsOf(endpoint).mLastDemandNanos = nowNanos;
    }

    /**
     * Applies a new configuration.
     *
     * @param configuration the active configuration
     * @param nowNanos current monotonic time, in nanoseconds
     */
    public void configurationChanged(Configuration configuration, long nowNanos) {
        mConfiguration = configuration;
        mEndpoints
                .values()
                .removeIf(
                        slots ->
                                configuration.endpoint(slots.mEndpoint).isEmpty()
                                        && !slots.mayHoldSlot(nowNanos));
        mEndpoints.values().forEach(slots -> slots.resize(coldLimitOf(slots)));
    }

    private EndpointSlots slotsOf(EndpointName endpoint) {
        return mEndpoints.computeIfAbsent(
                endpoint,
                name -> {
                    EndpointSlots slots = new EndpointSlots(name, mSettings, mValidity);
                    slots.resize(coldLimitOf(slots));
                    return slots;
                });
    }

    private int coldLimitOf(EndpointSlots slots) {
        return mConfiguration.endpoint(slots.mEndpoint).map(Endpoint::coldLimit).orElse(0);
    }

    /**
     * Returns when {@link #tick} has to be called next.
     *
     * @return monotonic time, in nanoseconds
     */
    public long nextWakeNanos() {
        return Math.min(mNextReadNanos, mTable.nextTimeoutNanos());
    }

    /**
     * Times out requests, releases slots that are no longer needed and reads slots that are due.
     *
     * @param nowNanos current monotonic time, in nanoseconds
     * @return requests to the table service
     */
    public List<InstanceAction> tick(long nowNanos) {
        mTable.expireRequests(nowNanos);
        if (nowNanos < mNextReadNanos) {
            return List.of();
        }
        mNextReadNanos = nowNanos + jittered(mSettings.readInterval().toNanos());
        if (!mLease.isHeld(nowNanos)) {
            return List.of();
        }
        List<EndpointSlots> relevant =
                mEndpoints.values().stream()
                        .filter(slots -> hasDemand(slots, nowNanos) || slots.mayHoldSlot(nowNanos))
                        .sorted(
                                Comparator.<EndpointSlots>comparingLong(
                                                slots -> slots.mNextReadNanos)
                                        .thenComparing(slots -> slots.mEndpoint))
                        .toList();
        List<InstanceAction> actions = new ArrayList<>();
        relevant.forEach(slots -> releaseUnneeded(slots, nowNanos, actions));
        List<EndpointSlots> due =
                relevant.stream().filter(slots -> nowNanos >= slots.mNextReadNanos).toList();
        actions.addAll(mTable.read(due, nowNanos));
        return actions;
    }

    /**
     * Releases all slots for a planned stop; call it once all calls in flight have ended.
     *
     * @param nowNanos current monotonic time, in nanoseconds
     * @return requests to the table service
     */
    public List<InstanceAction> release(long nowNanos) {
        List<InstanceAction> actions = new ArrayList<>();
        mEndpoints.values().stream()
                .sorted(Comparator.comparing(slots -> slots.mEndpoint))
                .flatMap(slots -> slots.mSlots.stream())
                .filter(slot -> slot.mHeldEpoch != 0 && !slot.mWriteInFlight)
                .forEach(slot -> actions.add(mTable.release(slot, nowNanos)));
        return actions;
    }

    private boolean hasDemand(EndpointSlots slots, long nowNanos) {
        return !slots.mWarmState.isWarm(nowNanos)
                && nowNanos - slots.mLastDemandNanos <= mSettings.idleTimeout().toNanos();
    }

    private void releaseUnneeded(EndpointSlots slots, long nowNanos, List<InstanceAction> actions) {
        int calls = mCallsInFlight.applyAsInt(slots.mEndpoint);
        boolean warm = slots.mWarmState.isWarm(nowNanos);
        int usable = slots.usable(mLease.epoch(), coldLimitOf(slots));
        for (Slot slot : slots.mSlots) {
            if (slot.mWriteInFlight) {
                continue;
            }
            boolean usedHere = slot.isUsable(mLease.epoch());
            if (slot.mHeldEpoch != 0 && mayRelease(slots, slot, calls >= usable, nowNanos)) {
                slot.retire(nowNanos);
                usable -= usedHere ? 1 : 0;
            }
            boolean orphaned =
                    slot.mHeldEpoch == 0 && mTable.isHeldByThisProcess(slot) && slot.mRead;
            boolean releasable = slot.mRetiring || orphaned && !hasDemand(slots, nowNanos);
            if (releasable && (!warm && calls <= usable || isDrained(slot, nowNanos))) {
                actions.add(mTable.release(slot, nowNanos));
            }
        }
    }

    private boolean mayRelease(EndpointSlots slots, Slot slot, boolean allBusy, long nowNanos) {
        if (slot.mRetiring || slots.mWarmState.isWarm(nowNanos)) {
            return true;
        }
        boolean inDemand = hasDemand(slots, nowNanos);
        long heldNanos = nowNanos - slot.mAcquiredNanos;
        boolean idle = !inDemand && !allBusy && heldNanos > mSettings.idleTimeout().toNanos();
        boolean holdExpired = !slots.mFreeSlotSeen && heldNanos > mSettings.maximumHold().toNanos();
        if (holdExpired) {
            slots.mNoAcquireBeforeNanos = nowNanos + 2 * mSettings.readInterval().toNanos();
        }
        return idle || holdExpired;
    }

    private boolean isDrained(Slot slot, long nowNanos) {
        return nowNanos - slot.mRetiredNanos >= mSettings.maximumCall().toNanos();
    }

    /**
     * Handles a response of the table service and ignores other events.
     *
     * @param event the event
     * @param nowNanos current monotonic time, in nanoseconds
     * @return requests to the table service and log lines
     */
    public List<InstanceAction> handle(InstanceEvent event, long nowNanos) {
        List<InstanceAction> actions = new ArrayList<>();
        switch (event) {
            case InstanceEvent.ReadAnswered answer ->
                    mTable.readAnswered(answer.operation(), answer.outcome(), nowNanos)
                            .forEach(slots -> acquireSlot(slots, nowNanos, actions));
            case InstanceEvent.CommitAnswered answer ->
                    mTable.writeAnswered(answer.operation(), answer.outcome(), nowNanos);
            default -> {
                // Other events do not concern slots.
            }
        }
        return actions;
    }

    private void acquireSlot(EndpointSlots slots, long nowNanos, List<InstanceAction> actions) {
        int coldLimit = coldLimitOf(slots);
        List<Slot> acquirable =
                slots.mSlots.stream()
                        .filter(slot -> slot.mIndex < coldLimit)
                        .filter(slot -> mTable.isAcquirable(slot, nowNanos))
                        .toList();
        slots.recordRead(!acquirable.isEmpty(), MAXIMUM_DOUBLINGS);
        slots.mNextReadNanos =
                nowNanos
                        + jittered(
                                        mSettings.readInterval().toNanos()
                                                << slots.mReadsWithoutFreeSlot)
                                / 2;
        boolean inDemand = hasDemand(slots, nowNanos) && nowNanos >= slots.mNoAcquireBeforeNanos;
        boolean first = slots.usable(mLease.epoch(), coldLimit) == 0;
        boolean mayAcquireMore =
                nowNanos - slots.mLastAcquiredNanos >= mSettings.additionalSlotDelay().toNanos();
        if (acquirable.isEmpty()
                || !inDemand
                || !(first || mayAcquireMore)
                || !mLease.isHeld(nowNanos)) {
            return;
        }
        slots.mLastAcquiredNanos = nowNanos;
        actions.add(mTable.acquire(acquirable, slots.mWarmState.generation(), nowNanos));
        actions.add(new InstanceAction.LogDecision(decision(slots, acquirable.size())));
    }

    private Decision decision(EndpointSlots slots, int candidates) {
        return new Decision(
                "grant",
                "",
                "",
                "",
                candidates,
                slots.mEndpoint.value(),
                "acquires a cold-start slot",
                -1);
    }

    private long jittered(long nanos) {
        return nanos / 2 + (long) (mRandom.nextDouble() * nanos);
    }
}
