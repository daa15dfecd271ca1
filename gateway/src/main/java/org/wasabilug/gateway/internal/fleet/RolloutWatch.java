package org.wasabilug.gateway.internal.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.store.StoreAccess;
import org.wasabilug.gateway.internal.store.TableEvents;
import org.wasabilug.gateway.protocol.StoredRow;
import org.wasabilug.gateway.protocol.UnreadableException;
import org.wasabilug.internal.rollout.Rollout;
import org.wasabilug.internal.rollout.RolloutFleet;
import org.wasabilug.internal.rollout.RolloutOrder;

/**
 * Follows the orders of rollouts and carries them out. Passes the rows and events of the table on
 * to the watch of the configuration.
 */
public final class RolloutWatch implements TableEvents {
    /** Time in which operators write again what the store has lost. */
    private static final long REWRITE_GRACE_MILLIS = 5_000;

    private final GatewayState mState;
    private final TableEvents mOther;
    private final RolloutStatusTable mTable;
    private final Supplier<Set<String>> mLiveInstances;
    private final Map<String, RolloutRecorder> mRecorders = new HashMap<>();

    /** Services whose orders the store has lost, which stay in force for a while. */
    private final Set<String> mMissing = new HashSet<>();

    private long mGraceUntilMillis = Long.MIN_VALUE;
    private boolean mFollowed;

    /**
     * Creates a watch without orders.
     *
     * @param state state of this process
     * @param other receives all rows and events of the table first
     * @param store how the store is reached
     * @param liveInstances returns the names of the instances that accept new work
     */
    public RolloutWatch(
            GatewayState state,
            TableEvents other,
            StoreAccess store,
            Supplier<Set<String>> liveInstances) {
        mState = state;
        mOther = other;
        mTable = new RolloutStatusTable(state, store);
        mLiveInstances = liveInstances;
    }

    @Override
    public void replaced(List<StoredRow> rows) {
        mOther.replaced(rows);
        Set<String> ordered = new HashSet<>();
        rows.forEach(row -> service(row).ifPresent(ordered::add));
        for (Rollout rollout : mState.rollouts().all()) {
            String service = rollout.order().service();
            if (!ordered.contains(service)) {
                missing(service);
            }
        }
        rows.forEach(row -> apply(row, false));
        mFollowed = true;
    }

    private void missing(String service) {
        if (mState.nowMillis() < mGraceUntilMillis) {
            mMissing.add(service);
        } else {
            removed(service);
        }
    }

    /**
     * Keeps orders for a while though their rows are missing, as the store came back from an older
     * copy.
     */
    public void storeCameBackOlder() {
        mGraceUntilMillis = mState.nowMillis() + REWRITE_GRACE_MILLIS;
    }

    /** Removes orders that were not written again. */
    private void removeMissing() {
        if (!mMissing.isEmpty() && mState.nowMillis() >= mGraceUntilMillis) {
            List.copyOf(mMissing).forEach(this::removed);
        }
    }

    @Override
    public void changed(List<StoredRow> rows) {
        mOther.changed(rows);
        // Rows that peers relay before the table was read may be older than this process.
        rows.forEach(row -> apply(row, mFollowed));
    }

    private Optional<String> service(StoredRow row) {
        return mState.protocol().store().readRolloutService(row);
    }

    /**
     * Applies a row.
     *
     * @param row the row
     * @param justWritten whether the row was written while this instance followed the table
     */
    private void apply(StoredRow row, boolean justWritten) {
        Optional<String> service = service(row);
        if (service.isEmpty()) {
            return;
        }
        mMissing.remove(service.get());
        if (row.removed()) {
            removed(service.get());
            return;
        }
        try {
            order(mState.protocol().store().readRolloutOrder(row), justWritten);
        } catch (UnreadableException unreadable) {
            mState.log().fault(LogLine.of("rollout-unreadable").with("key", row.key()), unreadable);
        }
    }

    private void order(RolloutOrder order, boolean justWritten) {
        Optional<Rollout> known = mState.rollouts().find(order.service());
        boolean news = known.isEmpty() || order.revision().isAfter(known.get().order().revision());
        if (!news) {
            return;
        }
        Optional<Rollout> rewritten = known.filter(each -> each.isRewrittenAs(order));
        rewritten.ifPresentOrElse(
                each -> each.rewritten(order), () -> mState.rollouts().start(order, justWritten));
        Rollout rollout = mState.rollouts().find(order.service()).orElseThrow();
        mRecorders.put(order.service(), new RolloutRecorder(mState, rollout, mTable));
        mState.log()
                .process(
                        LogLine.of("rollout-ordered")
                                .with("service", order.service())
                                .with("to", order.softwareVersion())
                                .with("duration", order.durationMillis())
                                .with("revision", order.revision().toString())
                                .with("present", justWritten));
    }

    private void removed(String service) {
        mMissing.remove(service);
        Optional<Rollout> known = mState.rollouts().find(service);
        if (known.isEmpty() || known.get().paused()) {
            return;
        }
        mRecorders.remove(service);
        if (known.get().moved()) {
            mState.rollouts().remove(service);
        } else {
            known.get().pause();
        }
        mState.log()
                .process(
                        LogLine.of("rollout-state")
                                .with("service", service)
                                .with("to", known.get().order().softwareVersion())
                                .with("state", "removed"));
    }

    /** Judges versions and reads and writes statuses; to be called several times a second. */
    public void advance() {
        removeMissing();
        if (mState.rollouts().isEmpty()) {
            return;
        }
        Set<String> live = mLiveInstances.get();
        Set<String> others = new HashSet<>(mState.instanceNames());
        others.remove(mState.settings().name());
        RolloutFleet fleet = new RolloutFleet(others, live.size());
        long now = mState.nowMillis();
        for (Rollout rollout : mState.rollouts().all()) {
            String service = rollout.order().service();
            if (rollout.paused()) {
                removeExpired(rollout, now);
            } else {
                mState.rollouts().refresh(rollout);
                mRecorders.get(service).advance(fleet, live);
            }
        }
    }

    /** The version of a removed order is kept from requests until the order would have ended. */
    private void removeExpired(Rollout rollout, long nowMillis) {
        if (nowMillis >= rollout.deadlineMillis()) {
            mState.rollouts().remove(rollout.order().service());
        }
    }

    @Override
    public void availabilityChanged(boolean available, String reason) {
        mOther.availabilityChanged(available, reason);
    }

    @Override
    public void rowsNotApplied(Throwable cause) {
        mOther.rowsNotApplied(cause);
    }
}
