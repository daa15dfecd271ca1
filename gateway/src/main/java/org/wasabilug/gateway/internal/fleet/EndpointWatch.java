package org.wasabilug.gateway.internal.fleet;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.store.TableEvents;
import org.wasabilug.gateway.protocol.StoredRow;
import org.wasabilug.gateway.protocol.UnreadableException;
import org.wasabilug.internal.serving.EndpointDirectory;
import org.wasabilug.serving.EndpointRegistration;

/**
 * Keeps the directory of endpoints like the store's table.
 *
 * <p>Entries may lapse while the store is away, though their endpoints live. After the store was
 * away, a missing entry therefore has a while to come back.
 */
public final class EndpointWatch implements TableEvents {
    /** Living endpoints are registered again by then. */
    private static final long REGISTRATION_GRACE_MILLIS = 2_000;

    private final GatewayState mState;
    private long mGraceUntilMillis = Long.MIN_VALUE;
    private boolean mStoreReachable;
    private boolean mEverReachable;

    /**
     * Makes a watch.
     *
     * @param state what this instance knows
     */
    public EndpointWatch(GatewayState state) {
        mState = state;
    }

    @Override
    public void replaced(List<StoredRow> rows) {
        Set<String> missing = mState.directory().names();
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

    /** Removes what did not come back; to be called several times a second. */
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

    /**
     * Tells whether the store answers.
     *
     * @return false before its first answer, and while it is silent
     */
    public boolean storeReachable() {
        return mStoreReachable;
    }

    private void register(StoredRow row) {
        EndpointRegistration registration;
        try {
            registration = mState.protocol().store().readRegistration(row);
        } catch (UnreadableException unreadable) {
            mState.log()
                    .process(
                            LogLine.of("registration-unreadable")
                                    .with("endpoint", row.key())
                                    .with("reason", unreadable.getMessage()));
            mState.directory().remove(row.key());
            return;
        }
        EndpointDirectory.Change change =
                mState.directory().register(registration, mState.nowMillis());
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
                                    .with("version", registration.version()));
        }
    }

    private void removed(String name) {
        long now = mState.nowMillis();
        boolean leaving =
                mState.directory()
                        .find(name)
                        .map(endpoint -> endpoint.registration().leaving())
                        .orElse(true);
        if (!leaving && now < mGraceUntilMillis) {
            mState.directory().markMissing(name, mGraceUntilMillis);
            return;
        }
        mState.prefixes().remove(name);
        if (mState.directory().remove(name)) {
            mState.log()
                    .process(
                            LogLine.of("endpoint-gone")
                                    .with("endpoint", name)
                                    .with("reason", "entry removed"));
        }
    }

    @Override
    public void availabilityChanged(boolean answering, String reason) {
        if (answering && !mStoreReachable && mEverReachable) {
            mGraceUntilMillis = mState.nowMillis() + REGISTRATION_GRACE_MILLIS;
        }
        mStoreReachable = answering;
        mEverReachable = mEverReachable || answering;
        mState.log()
                .process(
                        LogLine.of(answering ? "store-regained" : "store-lost")
                                .with("table", mState.protocol().store().endpointTable())
                                .with("reason", reason));
    }
}
