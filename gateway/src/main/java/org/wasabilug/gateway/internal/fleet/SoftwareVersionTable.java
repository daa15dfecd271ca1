package org.wasabilug.gateway.internal.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.store.StoreAccess;
import org.wasabilug.gateway.internal.store.StoreEra;
import org.wasabilug.gateway.internal.store.TableClient;
import org.wasabilug.gateway.protocol.StorePage;
import org.wasabilug.gateway.protocol.StoredRow;
import org.wasabilug.internal.serving.SoftwareVersionRecord;
import org.wasabilug.messages.gateway.RecordedSoftwareVersion;
import org.wasabilug.messages.gateway.SoftwareVersionRow;
import org.wasabilug.serving.StoreRevision;

/** Table of the store with a record of software versions for each service. */
public final class SoftwareVersionTable {
    /** Name of the table; the key is the name of the service. */
    public static final String TABLE = "software-versions";

    /** A caller that takes up a stream may wait for a read. */
    private static final long TIMEOUT_MILLIS = 500;

    private final GatewayState mState;
    private final StoreEra mEra;
    private final TableClient mClient;

    /**
     * Creates access to the table.
     *
     * @param state state of this process
     * @param store how the store is reached
     */
    public SoftwareVersionTable(GatewayState state, StoreAccess store) {
        mState = state;
        mEra = store.era();
        mClient = new TableClient(store, TABLE, TIMEOUT_MILLIS);
    }

    /**
     * The records of all services at one moment.
     *
     * @param rows the records by service; one that can't be read counts as empty
     * @param whole whether all records could be read
     * @param era era of the store
     * @param storeMillis time of the store's clock, in milliseconds
     */
    record Contents(Map<String, Row> rows, boolean whole, long era, long storeMillis) {
        Row row(String service) {
            Row missing = new Row(SoftwareVersionRecord.EMPTY, new StoreRevision(era, 0));
            return rows.getOrDefault(service, missing);
        }
    }

    /**
     * Record of one service.
     *
     * @param record the record
     * @param revision revision of its row; that of no row has version 0
     */
    record Row(SoftwareVersionRecord record, StoreRevision revision) {}

    /** Reads the table; the receiver gets empty if that fails. */
    void read(Consumer<Optional<Contents>> receiver) {
        mClient.read(page -> receiver.accept(page.map(this::contents)));
    }

    private Contents contents(StorePage page) {
        Map<String, Row> rows = new HashMap<>();
        boolean whole = true;
        for (StoredRow row : page.rows()) {
            Optional<SoftwareVersionRecord> record = decode(row);
            whole &= record.isPresent();
            // The next write of the service replaces a row that can't be read.
            SoftwareVersionRecord known = record.orElse(SoftwareVersionRecord.EMPTY);
            rows.put(row.key(), new Row(known, row.revision()));
        }
        return new Contents(rows, whole, mEra.newest(), page.storeMillis());
    }

    private Optional<SoftwareVersionRecord> decode(StoredRow row) {
        Map<String, Optional<Long>> left = new HashMap<>();
        try {
            for (RecordedSoftwareVersion each :
                    SoftwareVersionRow.parseFrom(row.value()).getVersionsList()) {
                left.put(
                        each.getSoftwareVersion(),
                        each.hasLeftMilliseconds()
                                ? Optional.of(each.getLeftMilliseconds())
                                : Optional.empty());
            }
            return Optional.of(new SoftwareVersionRecord(left));
        } catch (InvalidProtocolBufferException unreadable) {
            mState.log()
                    .fault(
                            LogLine.of("software-versions-unreadable").with("service", row.key()),
                            unreadable);
            return Optional.empty();
        }
    }

    /**
     * Writes a record unless its row has changed or was read in an earlier era; the receiver gets
     * true once it is written.
     */
    void write(
            String service,
            SoftwareVersionRecord record,
            StoreRevision replaced,
            Consumer<Boolean> receiver) {
        if (replaced.era() != mEra.newest()) {
            receiver.accept(false);
            return;
        }
        mClient.write(new StoredRow(service, encode(record), replaced, false), receiver);
    }

    private static byte[] encode(SoftwareVersionRecord record) {
        SoftwareVersionRow.Builder row = SoftwareVersionRow.newBuilder();
        record.leftMillis()
                .forEach(
                        (version, left) -> {
                            RecordedSoftwareVersion.Builder recorded =
                                    row.addVersionsBuilder().setSoftwareVersion(version);
                            left.ifPresent(recorded::setLeftMilliseconds);
                        });
        return row.build().toByteArray();
    }

    /** Closes the connection unless a call is in progress. */
    void closeIdle() {
        mClient.closeIdle();
    }
}
