package org.wasabilug.gateway.internal.fleet;

import java.util.Optional;
import java.util.function.Consumer;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.store.StoreAccess;
import org.wasabilug.gateway.internal.store.StoreEra;
import org.wasabilug.gateway.internal.store.TableClient;
import org.wasabilug.gateway.protocol.StorePage;
import org.wasabilug.gateway.protocol.StoreProtocol;
import org.wasabilug.gateway.protocol.StoredRow;
import org.wasabilug.gateway.protocol.UnreadableException;
import org.wasabilug.internal.rollout.RolloutOrder;
import org.wasabilug.internal.rollout.RolloutStatus;
import org.wasabilug.serving.StoreRevision;

/** Table of the store with the status of each rollout. */
final class RolloutStatusTable {
    /** Twice as long as a slow response of the store takes; another attempt follows. */
    private static final long TIMEOUT_MILLIS = 1_000;

    private final GatewayState mState;
    private final StoreEra mEra;
    private final TableClient mClient;
    private StoreRevision mLoggedUnreadable = StoreRevision.NONE;

    RolloutStatusTable(GatewayState state, StoreAccess store) {
        mState = state;
        mEra = store.era();
        mClient = new TableClient(store, state.protocol().store().statusTable(), TIMEOUT_MILLIS);
    }

    /**
     * What the store holds about an order.
     *
     * @param status status of the order; empty if there is none
     * @param replaced revision of the row that the next status replaces; version 0 without a row
     * @param storeMillis time of the store's clock, in milliseconds
     */
    record Contents(Optional<RolloutStatus> status, StoreRevision replaced, long storeMillis) {}

    /** Reads the status of an order; the receiver gets empty if that fails. */
    void read(RolloutOrder order, Consumer<Optional<Contents>> receiver) {
        String key = mState.protocol().store().rolloutKey(order.service());
        mClient.readFrom(
                key, page -> receiver.accept(page.flatMap(each -> contents(order, key, each))));
    }

    /** Returns empty if the row can't be read, as it may hold a final status of the order. */
    private Optional<Contents> contents(RolloutOrder order, String key, StorePage page) {
        Optional<StoredRow> row =
                page.rows().stream().filter(each -> each.key().equals(key)).findFirst();
        StoreRevision revision =
                row.map(StoredRow::revision).orElse(new StoreRevision(mEra.newest(), 0));
        try {
            Optional<RolloutStatus> status =
                    row.isPresent() ? status(order, row.get()) : Optional.empty();
            return Optional.of(new Contents(status, revision, page.storeMillis()));
        } catch (UnreadableException unreadable) {
            logUnreadable(row.orElseThrow(), unreadable);
            return Optional.empty();
        }
    }

    /** Reads are repeated several times a second, so each row is logged once. */
    private void logUnreadable(StoredRow row, UnreadableException unreadable) {
        if (!row.revision().equals(mLoggedUnreadable)) {
            mLoggedUnreadable = row.revision();
            mState.log().fault(LogLine.of("rollout-unreadable").with("key", row.key()), unreadable);
        }
    }

    /** A status that is older than the order, or about another version, is of an earlier order. */
    private Optional<RolloutStatus> status(RolloutOrder order, StoredRow row) {
        if (!row.revision().isAfter(order.revision())) {
            return Optional.empty();
        }
        if (row.revision().era() != order.revision().era()) {
            throw new UnreadableException("status of a later era than its order");
        }
        return Optional.of(mState.protocol().store().readRolloutStatus(row))
                .filter(each -> each.softwareVersion().equals(order.softwareVersion()));
    }

    /**
     * Writes a status unless its row or that of the order has changed since it was read; the
     * receiver gets true once it is written.
     */
    void write(
            RolloutOrder order,
            RolloutStatus status,
            StoreRevision replaced,
            Consumer<Boolean> receiver) {
        long era = mEra.newest();
        if (replaced.era() != era || order.revision().era() != era) {
            receiver.accept(false);
            return;
        }
        StoreProtocol store = mState.protocol().store();
        mClient.write(store.rolloutStatusBody(order, status, replaced), receiver);
    }

    /** Closes the connection unless a call is in progress. */
    void closeIdle() {
        mClient.closeIdle();
    }
}
