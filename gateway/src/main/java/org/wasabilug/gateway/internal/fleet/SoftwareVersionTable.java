package org.wasabilug.gateway.internal.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.store.TableClient;
import org.wasabilug.gateway.protocol.StorePage;
import org.wasabilug.gateway.protocol.StoredRow;
import org.wasabilug.internal.serving.SoftwareVersionRecord;
import org.wasabilug.messages.gateway.RecordedSoftwareVersion;
import org.wasabilug.messages.gateway.SoftwareVersionRow;

/** Table of the store with a record of software versions for each service. */
public final class SoftwareVersionTable {
    /** Name of the table; the key is the name of the service. */
    public static final String TABLE = "software-versions";

    /** A caller that takes up a stream may wait for a read. */
    private static final long TIMEOUT_MILLIS = 500;

    private final GatewayState mState;
    private final TableClient mClient;

    /**
     * Creates access to the table.
     *
     * @param state state of this process
     * @param loops event loop
     */
    public SoftwareVersionTable(GatewayState state, EventLoopGroup loops) {
        mState = state;
        mClient =
                new TableClient(
                        loops,
                        state.settings().store(),
                        state.protocol().store(),
                        TABLE,
                        TIMEOUT_MILLIS);
    }

    /**
     * The records of all services at one moment.
     *
     * @param rows the records by service
     * @param storeMillis time of the store's clock, in milliseconds
     */
    record Contents(Map<String, Row> rows, long storeMillis) {
        Row row(String service) {
            return rows.getOrDefault(service, Row.MISSING);
        }
    }

    /**
     * Record of one service.
     *
     * @param record the record
     * @param version version of its row; 0 if there is none
     */
    record Row(SoftwareVersionRecord record, long version) {
        private static final Row MISSING = new Row(SoftwareVersionRecord.EMPTY, 0);
    }

    /** Reads the table; the receiver gets empty if that fails. */
    void read(Consumer<Optional<Contents>> receiver) {
        mClient.read(page -> receiver.accept(page.map(this::contents)));
    }

    private Contents contents(StorePage page) {
        Map<String, Row> rows = new HashMap<>();
        for (StoredRow row : page.rows()) {
            rows.put(row.key(), new Row(decode(row), row.version()));
        }
        return new Contents(rows, page.storeMillis());
    }

    /** Returns an empty record for a row that can't be read; the next write replaces it. */
    private SoftwareVersionRecord decode(StoredRow row) {
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
        } catch (InvalidProtocolBufferException unreadable) {
            mState.log()
                    .fault(
                            LogLine.of("software-versions-unreadable").with("service", row.key()),
                            unreadable);
        }
        return new SoftwareVersionRecord(left);
    }

    /** Writes a record unless its row has changed; the receiver gets true once it is written. */
    void write(
            String service,
            SoftwareVersionRecord record,
            long replacedVersion,
            Consumer<Boolean> receiver) {
        mClient.write(new StoredRow(service, encode(record), replacedVersion, false), receiver);
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
