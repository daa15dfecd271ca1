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
 * Cold-start grants: an endpoint's cold limit divided into slots, each a row of the table service
 * held under a session lease.
 *
 * <p>A slot counts only from the committed answer of a write under the present epoch. One that was
 * held under a session that ended may be taken over after the longest call, since calls of that
 * session may still be running. Without a held lease nothing is allowed at a cold endpoint.
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
    private long mNextLookNanos = Long.MIN_VALUE;

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
     * Starts building.
     *
     * @return a builder with default times
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
        if (slots.mWarmth.isWarm(nowNanos)) {
            return slots.mWarmth.warmAllowance(endpoint, nowNanos);
        }
        if (!mLease.isHeld(nowNanos) || slots.mWarmth.isQuiet(nowNanos)) {
            return 0;
        }
        int usable = slots.usable(mLease.epoch(), endpoint.coldLimit());
        return Math.max(0, usable - mCancelledCalls.applyAsInt(endpoint.name()));
    }

    @Override
    public long longestCallNanos(EndpointName endpoint, long nowNanos) {
        return isWarm(endpoint, nowNanos) ? Long.MAX_VALUE : mSettings.longestCall().toNanos();
    }

    /**
     * Tells whether an endpoint is proven warm.
     *
     * @param endpoint the endpoint
     * @param nowNanos monotonic time, in nanoseconds
     * @return false also where nothing is known of it
     */
    public boolean isWarm(EndpointName endpoint, long nowNanos) {
        EndpointSlots slots = mEndpoints.get(endpoint);
        return slots != null && slots.mWarmth.isWarm(nowNanos);
    }

    /**
     * Tells how often every watched endpoint is asked for a load report.
     *
     * @param roundNanos time between two reports of one endpoint, in nanoseconds
     */
    public void reportsEvery(long roundNanos) {
        mValidity.reportsEvery(roundNanos);
    }

    /**
     * Takes a load report.
     *
     * @param endpoint whose
     * @param report the report
     * @param nowNanos monotonic time, in nanoseconds
     */
    public void reported(EndpointName endpoint, LoadReport report, long nowNanos) {
        int ownCalls = mCallsInFlight.applyAsInt(endpoint);
        slotsOf(endpoint).mWarmth.reported(report, ownCalls, nowNanos);
    }

    /**
     * Notes that an endpoint may have restarted: a connection was refused or lost.
     *
     * @param endpoint which
     * @param nowNanos monotonic time, in nanoseconds
     */
    public void evidenceOfRestart(EndpointName endpoint, long nowNanos) {
        slotsOf(endpoint).mWarmth.evidence(nowNanos);
    }

    /**
     * Notes that a call would go to the endpoint if this instance held a further slot there.
     *
     * @param endpoint which
     * @param nowNanos monotonic time, in nanoseconds
     */
    public void recordDemand(EndpointName endpoint, long nowNanos) {
        slotsOf(endpoint).mWantedNanos = nowNanos;
    }

    /**
     * Takes a new configuration.
     *
     * @param configuration configuration in force
     * @param nowNanos monotonic time, in nanoseconds
     */
    public void configurationChanged(Configuration configuration, long nowNanos) {
        mConfiguration = configuration;
        mEndpoints
                .values()
                .removeIf(
                        slots ->
                                configuration.endpoint(slots.mEndpoint).isEmpty()
                                        && !slots.hasTrace(nowNanos));
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
     * When {@link #tick} wants to be called next.
     *
     * @return monotonic time, in nanoseconds
     */
    public long nextWakeNanos() {
        return Math.min(mNextLookNanos, mTable.answerDueNanos());
    }

    /**
     * Does what is due.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return requests to the table service
     */
    public List<InstanceAction> tick(long nowNanos) {
        mTable.forgetLateAnswers(nowNanos);
        if (nowNanos < mNextLookNanos) {
            return List.of();
        }
        mNextLookNanos = nowNanos + jittered(mSettings.look().toNanos());
        if (!mLease.isHeld(nowNanos)) {
            return List.of();
        }
        List<EndpointSlots> interesting =
                mEndpoints.values().stream()
                        .filter(slots -> isWanted(slots, nowNanos) || slots.hasTrace(nowNanos))
                        .sorted(
                                Comparator.<EndpointSlots>comparingLong(
                                                slots -> slots.mNextLookNanos)
                                        .thenComparing(slots -> slots.mEndpoint))
                        .toList();
        List<InstanceAction> actions = new ArrayList<>();
        interesting.forEach(slots -> giveBack(slots, nowNanos, actions));
        List<EndpointSlots> due =
                interesting.stream().filter(slots -> nowNanos >= slots.mNextLookNanos).toList();
        actions.addAll(mTable.read(due, nowNanos));
        return actions;
    }

    /**
     * Gives every slot back on a planned stop; to be called once every call in flight has ended.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return requests to the table service
     */
    public List<InstanceAction> release(long nowNanos) {
        List<InstanceAction> actions = new ArrayList<>();
        mEndpoints.values().stream()
                .sorted(Comparator.comparing(slots -> slots.mEndpoint))
                .flatMap(slots -> slots.mSlots.stream())
                .filter(slot -> slot.mHeldEpoch != 0 && !slot.mWriteInFlight)
                .forEach(slot -> actions.add(mTable.giveBack(slot, nowNanos)));
        return actions;
    }

    private boolean isWanted(EndpointSlots slots, long nowNanos) {
        return !slots.mWarmth.isWarm(nowNanos)
                && nowNanos - slots.mWantedNanos <= mSettings.idle().toNanos();
    }

    private void giveBack(EndpointSlots slots, long nowNanos, List<InstanceAction> actions) {
        int calls = mCallsInFlight.applyAsInt(slots.mEndpoint);
        boolean warm = slots.mWarmth.isWarm(nowNanos);
        int usable = slots.usable(mLease.epoch(), coldLimitOf(slots));
        for (Slot slot : slots.mSlots) {
            if (slot.mWriteInFlight) {
                continue;
            }
            boolean usedHere = slot.isUsable(mLease.epoch());
            if (slot.mHeldEpoch != 0 && mayGo(slots, slot, calls >= usable, nowNanos)) {
                slot.retire(nowNanos);
                usable -= usedHere ? 1 : 0;
            }
            boolean forgotten = slot.mHeldEpoch == 0 && mTable.isOwn(slot) && slot.mRead;
            boolean leaving = slot.mRetiring || forgotten && !isWanted(slots, nowNanos);
            if (leaving && (!warm && calls <= usable || isDrained(slot, nowNanos))) {
                actions.add(mTable.giveBack(slot, nowNanos));
            }
        }
    }

    private boolean mayGo(EndpointSlots slots, Slot slot, boolean allBusy, long nowNanos) {
        if (slot.mRetiring || slots.mWarmth.isWarm(nowNanos)) {
            return true;
        }
        boolean wanted = isWanted(slots, nowNanos);
        long heldNanos = nowNanos - slot.mTakenNanos;
        boolean idle = !wanted && !allBusy && heldNanos > mSettings.idle().toNanos();
        boolean turnOver = !slots.mFreeSeen && heldNanos > mSettings.turn().toNanos();
        if (turnOver) {
            slots.mNoTakeBeforeNanos = nowNanos + 2 * mSettings.look().toNanos();
        }
        return idle || turnOver;
    }

    private boolean isDrained(Slot slot, long nowNanos) {
        return nowNanos - slot.mRetiredNanos >= mSettings.longestCall().toNanos();
    }

    /**
     * Takes an answer of the table service; other events change nothing.
     *
     * @param event what happened
     * @param nowNanos monotonic time, in nanoseconds
     * @return requests to the table service and log lines
     */
    public List<InstanceAction> handle(InstanceEvent event, long nowNanos) {
        List<InstanceAction> actions = new ArrayList<>();
        switch (event) {
            case InstanceEvent.ReadAnswered answer ->
                    mTable.readAnswered(answer.operation(), answer.outcome(), nowNanos)
                            .forEach(slots -> take(slots, nowNanos, actions));
            case InstanceEvent.CommitAnswered answer ->
                    mTable.writeAnswered(answer.operation(), answer.outcome(), nowNanos);
            default -> {
                // Nothing else concerns the slots.
            }
        }
        return actions;
    }

    private void take(EndpointSlots slots, long nowNanos, List<InstanceAction> actions) {
        int coldLimit = coldLimitOf(slots);
        List<Slot> takable =
                slots.mSlots.stream()
                        .filter(slot -> slot.mIndex < coldLimit)
                        .filter(slot -> mTable.isTakable(slot, nowNanos))
                        .toList();
        slots.looked(!takable.isEmpty(), MAXIMUM_DOUBLINGS);
        slots.mNextLookNanos =
                nowNanos + jittered(mSettings.look().toNanos() << slots.mFruitlessLooks) / 2;
        boolean wanted = isWanted(slots, nowNanos) && nowNanos >= slots.mNoTakeBeforeNanos;
        boolean first = slots.usable(mLease.epoch(), coldLimit) == 0;
        boolean mayTakeMore = nowNanos - slots.mLastTakenNanos >= mSettings.extraDelay().toNanos();
        if (takable.isEmpty() || !wanted || !(first || mayTakeMore) || !mLease.isHeld(nowNanos)) {
            return;
        }
        slots.mLastTakenNanos = nowNanos;
        actions.add(mTable.take(takable, slots.mWarmth.generation(), nowNanos));
        actions.add(new InstanceAction.LogDecision(decision(slots, takable.size())));
    }

    private Decision decision(EndpointSlots slots, int candidates) {
        return new Decision(
                "grant",
                "",
                "",
                "",
                candidates,
                slots.mEndpoint.value(),
                "takes a cold-start slot",
                -1);
    }

    private long jittered(long nanos) {
        return nanos / 2 + (long) (mRandom.nextDouble() * nanos);
    }
}
