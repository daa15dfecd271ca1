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
                key, page -> receiver.accept(page.map(each -> contents(order, key, each))));
    }

    private Contents contents(RolloutOrder order, String key, StorePage page) {
        Optional<StoredRow> row =
                page.rows().stream().filter(each -> each.key().equals(key)).findFirst();
        StoreRevision revision =
                row.map(StoredRow::revision).orElse(new StoreRevision(mEra.newest(), 0));
        return new Contents(row.flatMap(each -> status(order, each)), revision, page.storeMillis());
    }

    /** A status that is older than the order, or about another version, is of an earlier order. */
    private Optional<RolloutStatus> status(RolloutOrder order, StoredRow row) {
        if (!row.revision().isAfter(order.revision())) {
            return Optional.empty();
        }
        try {
            return Optional.of(mState.protocol().store().readRolloutStatus(row))
                    .filter(each -> each.softwareVersion().equals(order.softwareVersion()));
        } catch (UnreadableException unreadable) {
            mState.log().fault(LogLine.of("rollout-unreadable").with("key", row.key()), unreadable);
            return Optional.empty();
        }
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
