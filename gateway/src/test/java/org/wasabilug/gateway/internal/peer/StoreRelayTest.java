package org.wasabilug.gateway.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.gateway.internal.DisconnectedState;
import org.wasabilug.gateway.internal.store.StoreEra;
import org.wasabilug.gateway.internal.store.TableEvents;
import org.wasabilug.gateway.protocol.StoredRow;
import org.wasabilug.messages.gateway.TableRow;
import org.wasabilug.messages.gateway.TableRows;

/** Rows that peers relay to an instance that can't read the store. */
class StoreRelayTest {
    private static final String TABLE = "servers";

    private final DisconnectedState mDisconnected = new DisconnectedState();
    private final StoreEra mEra = new StoreEra();
    private final List<String> mApplied = new ArrayList<>();
    private final StoreRelay mRelay = new StoreRelay(mDisconnected.state(), null, mEra, () -> true);

    StoreRelayTest() {
        mRelay.relay(TABLE, new AppliedRows());
    }

    @AfterEach
    void stop() {
        mDisconnected.close();
    }

    /** Guards against a gone endpoint in use since a peer lags behind the store's return. */
    @Test
    void aRowThatAPeerKnowsFromBeforeTheStoreCameBackOlderIsNotApplied() {
        mRelay.received(message(row("a", 5).setEra(2)));
        mRelay.received(message(row("b", 90).setEra(1)));

        assertThat(mApplied).containsExactly("a");
    }

    @Test
    void aRowOfALaterEraIsAppliedAndRaisesTheEra() {
        mRelay.received(message(row("a", 90).setEra(1)));
        mRelay.received(message(row("a", 5).setEra(2)));

        assertThat(mApplied).containsExactly("a", "a");
        assertThat(mEra.newest()).isEqualTo(2);
    }

    @Test
    void aRowOfAnOlderSenderCountsAsOfTheNewestEra() {
        mEra.observe(OptionalLong.of(3));
        mRelay.received(message(row("a", 5).setEra(3)));
        mRelay.received(message(row("a", 6)));
        mRelay.received(message(row("a", 4)));

        assertThat(mApplied).containsExactly("a", "a");
    }

    private static TableRow.Builder row(String key, long version) {
        return TableRow.newBuilder()
                .setKey(key)
                .setVersion(version)
                .setValue(ByteString.copyFromUtf8("{}"));
    }

    private static TableRows message(TableRow.Builder row) {
        return TableRows.newBuilder().setTable(TABLE).addRows(row).build();
    }

    /** Notes the keys of the rows that are applied. */
    private final class AppliedRows implements TableEvents {
        @Override
        public void replaced(List<StoredRow> rows) {
            changed(rows);
        }

        @Override
        public void changed(List<StoredRow> rows) {
            rows.forEach(row -> mApplied.add(row.key()));
        }

        @Override
        public void availabilityChanged(boolean available, String reason) {}

        @Override
        public void rowsNotApplied(Throwable cause) {
            throw new AssertionError(cause);
        }
    }
}
