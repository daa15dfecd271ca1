package org.wasabilug.gateway.internal.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.store.TableEvents;
import org.wasabilug.gateway.protocol.StoredRow;
import org.wasabilug.gateway.protocol.UnreadableException;
import org.wasabilug.internal.serving.EndpointDirectory;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.serving.EndpointRegistration;
import org.wasabilug.serving.StoreRevision;

/**
 * Keeps the endpoint directory consistent with the endpoint table of the store.
 *
 * <p>Entries may be missing although their endpoints are alive after the store was unavailable or
 * came back from an older copy. They therefore get a grace period.
 */
public final class EndpointWatch implements TableEvents {
    /** Time after a recovery of the store within which every live endpoint registers again. */
    private static final long REGISTRATION_GRACE_MILLIS = 2_000;

    private final GatewayState mState;

    /** Revisions of the rows that can't be read, by key. */
    private final Map<String, StoreRevision> mUnreadable = new HashMap<>();

    private long mGraceUntilMillis = Long.MIN_VALUE;
    private boolean mStoreReachable;
    private boolean mEverReachable;

    /**
     * Creates a watch.
     *
     * @param state state of this process
     */
    public EndpointWatch(GatewayState state) {
        mState = state;
    }

    @Override
    public void replaced(List<StoredRow> rows) {
        mState.softwareVersions().watchedSince(mState.nowMillis());
        Set<String> missing = mState.directory().names();
        mUnreadable
                .keySet()
                .retainAll(rows.stream().map(StoredRow::key).collect(Collectors.toSet()));
        for (StoredRow row : rows) {
            missing.remove(row.key());
            register(row);
        }
        missing.forEach(this::removed);
    }

    @Override
    public void changed(List<StoredRow> rows) {
        for (StoredRow row : rows) {
            if (row.removed()) {
                removed(row.key());
            } else {
                register(row);
            }
        }
    }

    /** Removes endpoints whose grace period has ended; to be called several times a second. */
    public void removeExpired() {
        for (String name : mState.directory().removeExpired(mState.nowMillis())) {
            mState.log()
                    .process(
                            LogLine.of("endpoint-gone")
                                    .with("endpoint", name)
                                    .with(
                                            "reason",
                                            "not registered again after the store was away"));
        }
    }

    /** Gives missing entries a grace period, as the store came back from an older copy. */
    public void storeCameBackOlder() {
        mGraceUntilMillis = mState.nowMillis() + REGISTRATION_GRACE_MILLIS;
    }

    /** Returns whether the store responds; false before its first response. */
    public boolean storeReachable() {
        return mStoreReachable;
    }

    private void register(StoredRow row) {
        EndpointRegistration registration;
        try {
            registration = mState.protocol().store().readRegistration(row);
        } catch (UnreadableException unreadable) {
            reportUnreadable(row, unreadable);
            mState.directory().remove(row.key(), mState.nowMillis());
            return;
        }
        long now = mState.nowMillis();
        mState.softwareVersions().record(registration, now);
        EndpointDirectory.Change change = mState.directory().register(registration, now);
        if (change != EndpointDirectory.Change.NONE) {
            mState.log()
                    .process(
                            LogLine.of("endpoint-" + change.name().toLowerCase(Locale.ROOT))
                                    .with("endpoint", registration.name())
                                    .with("service", registration.service())
                                    .with("domain", registration.failureDomain())
                                    .with(
                                            "address",
                                            registration.host() + ":" + registration.port())
                                    .with("leaving", registration.leaving())
                                    .with("cold", registration.coldMillis())
                                    .with("software", registration.softwareVersion())
                                    .with("revision", registration.revision().toString()));
        }
    }

    /** Logs an unreadable row once, not with each read of the table. */
    private void reportUnreadable(StoredRow row, UnreadableException unreadable) {
        if (!Objects.equals(mUnreadable.put(row.key(), row.revision()), row.revision())) {
            mState.log()
                    .process(
                            LogLine.of("registration-unreadable")
                                    .with("endpoint", row.key())
                                    .with("reason", unreadable.getMessage()));
        }
    }

    private void removed(String name) {
        mUnreadable.remove(name);
        long now = mState.nowMillis();
        Optional<EndpointRegistration> last =
                mState.directory().find(name).map(EndpointState::registration);
        // Its row may be older than versions are remembered.
        last.ifPresent(registration -> mState.softwareVersions().record(registration, now));
        boolean leaving = last.map(EndpointRegistration::leaving).orElse(true);
        if (!leaving && now < mGraceUntilMillis) {
            mState.directory().markMissing(name, mGraceUntilMillis);
            return;
        }
        mState.prefixCaches().remove(name);
        if (mState.directory().remove(name, now)) {
            mState.log()
                    .process(
                            LogLine.of("endpoint-gone")
                                    .with("endpoint", name)
                                    .with("reason", "entry removed"));
        }
    }

    @Override
    public void availabilityChanged(boolean available, String reason) {
        if (available && !mStoreReachable && mEverReachable) {
            mGraceUntilMillis = mState.nowMillis() + REGISTRATION_GRACE_MILLIS;
        }
        mStoreReachable = available;
        mEverReachable = mEverReachable || available;
        mState.log()
                .process(
                        LogLine.of(available ? "store-regained" : "store-lost")
                                .with("table", mState.protocol().store().endpointTable())
                                .with("reason", reason));
    }

    @Override
    public void rowsNotApplied(Throwable cause) {
        mState.log()
                .fault(
                        LogLine.of("rows-not-applied")
                                .with("table", mState.protocol().store().endpointTable()),
                        cause);
    }
}
