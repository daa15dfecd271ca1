package org.wasabilug.gateway.internal.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.fleet.StreamOriginTable.Row;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.StreamOriginWriters;

/**
 * Records in the store where streams began, for instances that start after all others were killed.
 * Only while a service has several software versions does that matter.
 *
 * <p>One instance records a stream, chosen by its hash; it writes one row an interval with those
 * that began since, and uses a row again once none of its streams may be resumed.
 */
public final class StreamOriginRecorder {
    /** Streams that began within this before all instances were killed are lost. */
    private static final long INTERVAL_MILLIS = 1_000;

    /** Time in which an instance that has just started gets to know its peers. */
    private static final long START_MILLIS = 2_000;

    /** Eight bytes each, so that a row stays below the limit of the store. */
    private static final int MAX_STREAMS_IN_ROW = 4_000;

    private static final int MAX_STREAMS = 20_000;

    private final GatewayState mState;
    private final StreamOriginTable mTable;
    private final RecentVersions mRecentVersions;
    private final Supplier<Set<String>> mReachablePeers;
    private final BooleanSupplier mStoreReachable;
    private final StreamOriginWriters mWriters = new StreamOriginWriters();

    /** Streams that this instance is to record, by their hash. */
    private final Map<Long, Origin> mUnrecorded = new LinkedHashMap<>();

    /** Streams that the store told of. */
    private final Map<Long, Origin> mRecorded = new HashMap<>();

    /** Until when the rows of this instance hold streams that may be resumed, by their key. */
    private final Map<String, Long> mRowsUntilMillis = new HashMap<>();

    /** The writers when the table was read last. */
    private List<String> mReadAmong = List.of();

    private long mDueMillis;
    private boolean mBusy;

    private record Origin(String softwareVersion, long untilMillis) {}

    /**
     * Creates a recorder.
     *
     * @param state state of this process
     * @param table the table with the streams
     * @param reachablePeers returns the names of the peers that this instance can send to
     * @param storeReachable whether this instance reads the registrations from the store
     */
    public StreamOriginRecorder(
            GatewayState state,
            StreamOriginTable table,
            Supplier<Set<String>> reachablePeers,
            BooleanSupplier storeReachable) {
        mState = state;
        mTable = table;
        mRecentVersions = new RecentVersions(state);
        mReachablePeers = reachablePeers;
        mStoreReachable = storeReachable;
        mDueMillis = state.nowMillis() + START_MILLIS;
        mWriters.update(Set.of(state.settings().name()));
    }

    /**
     * Returns the name of the instance that records a stream.
     *
     * @param attempt id of the attempt that brought the first event
     */
    public String writer(String attempt) {
        return mWriters.writer(StreamOriginWriters.hash(attempt));
    }

    /**
     * Notes a stream that has begun, if this instance is to record it.
     *
     * @param attempt id of the attempt that brought the first event
     * @param softwareVersion software version of the endpoint that wrote the event
     * @param untilMillis monotonic time, in milliseconds, until which the stream may be resumed
     */
    public void began(String attempt, String softwareVersion, long untilMillis) {
        long hash = StreamOriginWriters.hash(attempt);
        if (isOwn(hash) && mUnrecorded.size() < MAX_STREAMS) {
            mUnrecorded.putIfAbsent(hash, new Origin(softwareVersion, untilMillis));
        }
    }

    private boolean isOwn(long hash) {
        return mWriters.writer(hash).equals(mState.settings().name());
    }

    /**
     * Returns the software version at which a stream began, as far as the store told it.
     *
     * @param attempt id of the attempt that brought the first event
     */
    public Optional<String> find(String attempt) {
        return Optional.ofNullable(mRecorded.get(StreamOriginWriters.hash(attempt)))
                .map(Origin::softwareVersion);
    }

    /** Records streams that have begun; to be called several times a second. */
    public void recordStreams() {
        long now = mState.nowMillis();
        if (now < mDueMillis) {
            return;
        }
        mDueMillis = now + INTERVAL_MILLIS;
        updateWriters();
        mUnrecorded.values().removeIf(origin -> origin.untilMillis() < now);
        mRecorded.values().removeIf(origin -> origin.untilMillis() < now);
        Set<String> versions = mRecentVersions.besideOthers();
        if (mBusy || versions.isEmpty() || !mStoreReachable.getAsBoolean()) {
            return;
        }
        if (mWriters.recordsMoreThan(mReadAmong, mState.settings().name())) {
            read();
        } else {
            write(versions);
        }
    }

    private void updateWriters() {
        Set<String> instances = new HashSet<>(mReachablePeers.get());
        instances.add(mState.settings().name());
        mWriters.update(instances);
    }

    private void read() {
        mBusy = true;
        List<String> writers = mWriters.writers();
        mTable.read(rows -> rowsRead(rows, writers));
    }

    private void rowsRead(Optional<List<Row>> rows, List<String> writers) {
        mBusy = false;
        mTable.closeIdle();
        if (rows.isPresent()) {
            rows.get().forEach(this::add);
            mReadAmong = writers;
        }
        mState.log()
                .process(
                        LogLine.of("stream-origins-read")
                                .with("read", rows.isPresent())
                                .with("rows", rows.map(List::size).orElse(0))
                                .with("streams", mRecorded.size()));
    }

    private void add(Row row) {
        long until = mState.nowMillis() + row.remainingMillis();
        if (row.key().startsWith(keyPrefix())) {
            mRowsUntilMillis.putIfAbsent(row.key(), until);
        }
        row.versions()
                .forEach(
                        (hash, version) -> {
                            if (isOwn(hash)) {
                                mRecorded.putIfAbsent(hash, new Origin(version, until));
                            }
                        });
    }

    private void write(Set<String> versions) {
        Map<Long, String> streams = new HashMap<>();
        long until = 0;
        for (Map.Entry<Long, Origin> each : mUnrecorded.entrySet()) {
            Origin origin = each.getValue();
            if (streams.size() < MAX_STREAMS_IN_ROW
                    && versions.contains(origin.softwareVersion())) {
                streams.put(each.getKey(), origin.softwareVersion());
                until = Math.max(until, origin.untilMillis());
            }
        }
        if (!streams.isEmpty()) {
            write(streams, until);
        }
    }

    private void write(Map<Long, String> streams, long until) {
        mBusy = true;
        String key = freeKey();
        Row row = new Row(key, streams, until - mState.nowMillis());
        mTable.write(
                row,
                written -> {
                    mBusy = false;
                    if (written) {
                        mUnrecorded.keySet().removeAll(streams.keySet());
                        mRowsUntilMillis.put(key, until);
                    }
                    logWritten(row, written);
                });
    }

    private void logWritten(Row row, boolean written) {
        mState.log()
                .request(
                        LogLine.of("stream-origins-recorded")
                                .with("written", written)
                                .with("row", row.key())
                                .with("streams", row.versions().size()));
    }

    private String keyPrefix() {
        return mState.settings().name() + "/";
    }

    private String freeKey() {
        long now = mState.nowMillis();
        mRowsUntilMillis.values().removeIf(until -> until < now);
        int number = 0;
        while (mRowsUntilMillis.containsKey(keyPrefix() + number)) {
            number++;
        }
        return keyPrefix() + number;
    }
}
