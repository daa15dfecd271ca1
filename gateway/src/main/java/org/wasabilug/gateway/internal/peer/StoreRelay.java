package org.wasabilug.gateway.internal.peer;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.store.StoreEra;
import org.wasabilug.gateway.internal.store.TableEvents;
import org.wasabilug.gateway.protocol.StoredRow;
import org.wasabilug.internal.serving.StoreRelays;
import org.wasabilug.messages.gateway.GatewayHeartbeat;
import org.wasabilug.messages.gateway.TableRow;
import org.wasabilug.messages.gateway.TableRows;
import org.wasabilug.serving.StoreRevision;

/**
 * Relays store rows to peers that can't read the store.
 *
 * <p>Rows are compared by revision on both sides, so an older row never replaces a newer one.
 */
public final class StoreRelay {
    private static final long RELAY_INTERVAL_MILLIS = 700;

    private final GatewayState mState;
    private final PeerNetwork mNetwork;
    private final BooleanSupplier mStoreUnreachable;
    private final Map<String, RelayedTable> mTables = new HashMap<>();
    private final Map<String, TableEvents> mReceivers = new HashMap<>();
    private final Map<String, StoreRevision> mRelayedRevisions = new HashMap<>();
    private final StoreEra mEra;
    private long mLastRelayMillis;

    /**
     * Creates a relay without tables.
     *
     * @param state state of this process
     * @param network the other instances
     * @param era newest era of the store that is known
     * @param storeUnreachable whether the store does not respond to this instance
     */
    public StoreRelay(
            GatewayState state,
            PeerNetwork network,
            StoreEra era,
            BooleanSupplier storeUnreachable) {
        mState = state;
        mNetwork = network;
        mEra = era;
        mStoreUnreachable = storeUnreachable;
    }

    /**
     * Adds a table whose rows are relayed.
     *
     * @param table name of the table
     * @param receiver receives rows from the store and from peers
     * @return listener to be registered for rows from the store
     */
    public TableEvents relay(String table, TableEvents receiver) {
        mReceivers.put(table, receiver);
        RelayedTable rows = new RelayedTable();
        mTables.put(table, rows);
        return new TableEvents() {
            @Override
            public void replaced(List<StoredRow> all) {
                rows.replace(all, mEra.newest(), mState.nowMillis());
                receiver.replaced(all);
            }

            @Override
            public void changed(List<StoredRow> changes) {
                changes.forEach(row -> rows.apply(row, mState.nowMillis()));
                receiver.changed(changes);
            }

            @Override
            public void availabilityChanged(boolean available, String reason) {
                receiver.availabilityChanged(available, reason);
            }

            @Override
            public void rowsNotApplied(Throwable cause) {
                receiver.rowsNotApplied(cause);
            }
        };
    }

    /** Sends new rows to the peers that need them; to be called several times a second. */
    public void relayChanges() {
        long now = mState.nowMillis();
        List<String> peers = peersToRelayTo();
        mRelayedRevisions.keySet().retainAll(peers);
        if (!peers.isEmpty() && now - mLastRelayMillis >= RELAY_INTERVAL_MILLIS) {
            mLastRelayMillis = now;
            peers.forEach(this::relayTo);
        }
    }

    /** Returns the live peers that can't read the store and that this instance relays it to. */
    private List<String> peersToRelayTo() {
        String local = mState.settings().name();
        Set<String> live = mNetwork.live();
        List<String> silent =
                live.stream()
                        .filter(name -> !name.equals(local))
                        .filter(name -> mNetwork.heartbeat(name).getStoreSilent())
                        .toList();
        if (silent.isEmpty()) {
            return silent;
        }
        List<StoreRelays.Candidate> candidates = live.stream().map(this::candidate).toList();
        return silent.stream()
                .filter(
                        name ->
                                StoreRelays.choose(
                                                name,
                                                mNetwork.heartbeat(name).getFailureDomain(),
                                                candidates)
                                        .contains(local))
                .toList();
    }

    private StoreRelays.Candidate candidate(String name) {
        if (name.equals(mState.settings().name())) {
            String domain = mState.settings().failureDomain();
            return new StoreRelays.Candidate(name, domain, !mStoreUnreachable.getAsBoolean());
        }
        GatewayHeartbeat heartbeat = mNetwork.heartbeat(name);
        return new StoreRelays.Candidate(
                name, heartbeat.getFailureDomain(), !heartbeat.getStoreSilent());
    }

    private void relayTo(String peer) {
        StoreRevision relayed = mRelayedRevisions.getOrDefault(peer, StoreRevision.NONE);
        StoreRevision newest = relayed;
        for (Map.Entry<String, RelayedTable> table : mTables.entrySet()) {
            TableRows.Builder message = TableRows.newBuilder().setTable(table.getKey());
            for (StoredRow row : table.getValue().changesAfter(relayed, mState.nowMillis())) {
                newest = row.revision().isAfter(newest) ? row.revision() : newest;
                message.addRows(
                        TableRow.newBuilder()
                                .setKey(row.key())
                                .setValue(ByteString.copyFrom(row.value()))
                                .setVersion(row.revision().version())
                                .setEra(row.revision().era())
                                .setRemoved(row.removed()));
            }
            if (message.getRowsCount() > 0) {
                mNetwork.send(peer, mNetwork.envelope().setTableRows(message).build());
            }
        }
        mRelayedRevisions.put(peer, newest);
    }

    /**
     * Applies rows that a peer relayed.
     *
     * @param message the rows
     */
    public void received(TableRows message) {
        RelayedTable known = mTables.get(message.getTable());
        if (known == null) {
            return;
        }
        List<StoredRow> newer = new ArrayList<>();
        for (TableRow row : message.getRowsList()) {
            StoredRow relayed =
                    new StoredRow(
                            row.getKey(),
                            row.getValue().toByteArray(),
                            revision(row),
                            row.getRemoved());
            if (!outdated(row) && known.isNews(relayed)) {
                known.apply(relayed, mState.nowMillis());
                newer.add(relayed);
            }
        }
        if (!newer.isEmpty()) {
            mReceivers.get(message.getTable()).changed(List.copyOf(newer));
        }
    }

    /** Returns whether a peer knows a row only from before the store came back older. */
    private boolean outdated(TableRow row) {
        return row.hasEra() && !mEra.observe(OptionalLong.of(row.getEra()));
    }

    /** Returns the revision of a relayed row; one without an era counts as of the newest. */
    private StoreRevision revision(TableRow row) {
        return new StoreRevision(row.hasEra() ? row.getEra() : mEra.newest(), row.getVersion());
    }
}
