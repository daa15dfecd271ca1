package org.wasabilug.gateway.internal.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.store.StoreAccess;
import org.wasabilug.gateway.internal.store.TableClient;
import org.wasabilug.gateway.protocol.StorePage;
import org.wasabilug.gateway.protocol.StoredRow;
import org.wasabilug.messages.gateway.StreamOriginRow;
import org.wasabilug.messages.gateway.StreamsOfSoftwareVersion;

/** Table of the store with streams that began while several software versions served. */
public final class StreamOriginTable {
    /** Name of the table; a key is the name of the instance that writes, and a number. */
    public static final String TABLE = "stream-origins";

    private static final long TIMEOUT_MILLIS = 1_000;

    private final GatewayState mState;
    private final StoreAccess mStore;
    private final TableClient mClient;

    /**
     * Creates access to the table.
     *
     * @param state state of this process
     * @param store how the store is reached
     */
    public StreamOriginTable(GatewayState state, StoreAccess store) {
        mState = state;
        mStore = store;
        mClient = new TableClient(store, TABLE, TIMEOUT_MILLIS);
    }

    /**
     * Streams that were recorded together.
     *
     * @param key key of the row
     * @param versions software version of the endpoint at which each began, by its hash
     * @param remainingMillis time for which the last may be resumed, from the write on
     */
    record Row(String key, Map<Long, String> versions, long remainingMillis) {}

    /** Reads the table, page by page; the receiver gets empty if that fails. */
    void read(Consumer<Optional<List<Row>>> receiver) {
        readFrom("", new ArrayList<>(), receiver);
    }

    private void readFrom(String key, List<Row> rows, Consumer<Optional<List<Row>>> receiver) {
        mClient.readFrom(
                key,
                page -> {
                    page.ifPresent(each -> each.rows().forEach(row -> decode(row, rows)));
                    Optional<String> next = page.flatMap(StreamOriginTable::nextKey);
                    if (next.isPresent()) {
                        readFrom(next.get(), rows, receiver);
                    } else {
                        receiver.accept(page.map(last -> rows));
                    }
                });
    }

    /** Returns the first key of the next page; empty if there is none. */
    private static Optional<String> nextKey(StorePage page) {
        return page.more() && !page.rows().isEmpty()
                ? Optional.of(page.rows().getLast().key() + "\0")
                : Optional.empty();
    }

    private void decode(StoredRow stored, List<Row> rows) {
        try {
            StreamOriginRow row = StreamOriginRow.parseFrom(stored.value());
            Map<Long, String> versions = new HashMap<>();
            for (StreamsOfSoftwareVersion each : row.getVersionsList()) {
                each.getAttemptsList()
                        .forEach(attempt -> versions.put(attempt, each.getSoftwareVersion()));
            }
            rows.add(new Row(stored.key(), versions, row.getRemainingMilliseconds()));
        } catch (InvalidProtocolBufferException unreadable) {
            mState.log()
                    .fault(
                            LogLine.of("stream-origins-unreadable").with("row", stored.key()),
                            unreadable);
        }
    }

    /** Writes a row in place of the one before; the receiver gets true once it is written. */
    void write(Row row, Consumer<Boolean> receiver) {
        byte[] value = encode(row);
        mClient.write(mStore.protocol().writeBody(TABLE, row.key(), value), receiver);
    }

    private static byte[] encode(Row row) {
        Map<String, StreamsOfSoftwareVersion.Builder> versions = new HashMap<>();
        row.versions()
                .forEach(
                        (attempt, version) ->
                                versions.computeIfAbsent(
                                                version,
                                                each ->
                                                        StreamsOfSoftwareVersion.newBuilder()
                                                                .setSoftwareVersion(each))
                                        .addAttempts(attempt));
        StreamOriginRow.Builder encoded =
                StreamOriginRow.newBuilder().setRemainingMilliseconds(row.remainingMillis());
        versions.values().forEach(encoded::addVersions);
        return encoded.build().toByteArray();
    }

    /** Closes the connection unless a call is in progress. */
    void closeIdle() {
        mClient.closeIdle();
    }
}
