package org.wasabilug.gateway.internal.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.RendezvousHashing;
import org.wasabilug.internal.serving.SoftwareVersionRecord;
import org.wasabilug.serving.EndpointRegistration;
import org.wasabilug.serving.StoreRevision;

/**
 * Records the software versions of services with resumable streams, for instances that start later.
 *
 * <p>A few instances, chosen by hash, write one after the other, so that a change costs one write
 * and a few reads whatever the size of the fleet.
 */
public final class SoftwareVersionRecorder {
    private static final int MAX_WRITERS = 4;
    private static final long CHECK_INTERVAL_MILLIS = 500;

    /** Time in which an instance that has just started gets to know its peers. */
    private static final long START_MILLIS = 2_000;

    /** Time for which each writer waits for the one before it. */
    private static final long WRITER_INTERVAL_MILLIS = 1_000;

    private static final long RETRY_MILLIS = 3_000;

    private final GatewayState mState;
    private final RecentVersions mRecentVersions;
    private final SoftwareVersionTable mTable;
    private final Supplier<Set<String>> mLiveInstances;
    private final BooleanSupplier mStoreReachable;
    private Map<String, Set<String>> mRecorded = Map.of();
    private Map<String, Set<String>> mNoticed = Map.of();
    private long mNoticedMillis;
    private long mDueMillis;
    private boolean mBusy;

    /**
     * Creates a recorder.
     *
     * @param state state of this process
     * @param table the table with the records
     * @param liveInstances returns the names of the instances that accept new work
     * @param storeReachable whether this instance reads the registrations from the store
     */
    public SoftwareVersionRecorder(
            GatewayState state,
            SoftwareVersionTable table,
            Supplier<Set<String>> liveInstances,
            BooleanSupplier storeReachable) {
        mState = state;
        mRecentVersions = new RecentVersions(state);
        mTable = table;
        mLiveInstances = liveInstances;
        mStoreReachable = storeReachable;
        mDueMillis = state.nowMillis() + START_MILLIS;
    }

    /** Records versions that came or left; to be called several times a second. */
    public void recordChanges() {
        long now = mState.nowMillis();
        if (mBusy || now < mDueMillis || !mStoreReachable.getAsBoolean()) {
            return;
        }
        mDueMillis = now + CHECK_INTERVAL_MILLIS;
        Map<String, Set<String>> registered = registeredVersions();
        if (registered.equals(mRecorded)) {
            return;
        }
        if (!registered.equals(mNoticed)) {
            mNoticed = registered;
            mNoticedMillis = now;
        }
        int position = positionAmongWriters();
        if (position >= 0 && now - mNoticedMillis >= position * WRITER_INTERVAL_MILLIS) {
            mBusy = true;
            mTable.read(contents -> update(registered, contents));
        }
    }

    /** Has all records compared again, as the store came back from an older copy. */
    public void storeCameBackOlder() {
        mRecorded = Map.of();
    }

    private Map<String, Set<String>> registeredVersions() {
        Map<String, Set<String>> versions = new TreeMap<>();
        mRecentVersions
                .servicesWithResumableStreams()
                .forEach(each -> versions.put(each, new TreeSet<>()));
        for (EndpointState endpoint : mState.directory().all()) {
            EndpointRegistration registration = endpoint.registration();
            Set<String> ofService = versions.get(registration.service());
            if (ofService != null) {
                ofService.add(registration.softwareVersion());
            }
        }
        return versions;
    }

    private int positionAmongWriters() {
        return RendezvousHashing.choose(
                        SoftwareVersionTable.TABLE, mLiveInstances.get(), MAX_WRITERS)
                .indexOf(mState.settings().name());
    }

    private void update(
            Map<String, Set<String>> registered, Optional<SoftwareVersionTable.Contents> contents) {
        if (contents.isEmpty()) {
            retryLater();
            return;
        }
        Queue<Write> writes = new ArrayDeque<>(writes(registered, contents.get()));
        writeNext(writes, registered);
    }

    private record Write(String service, SoftwareVersionRecord record, StoreRevision replaced) {}

    private List<Write> writes(
            Map<String, Set<String>> registered, SoftwareVersionTable.Contents contents) {
        List<Write> writes = new ArrayList<>();
        long now = mState.nowMillis();
        registered.forEach(
                (service, versions) -> {
                    SoftwareVersionTable.Row row = contents.row(service);
                    SoftwareVersionRecord updated =
                            row.record()
                                    .updated(
                                            versions,
                                            mState.softwareVersions().recent(service, now),
                                            contents.storeMillis());
                    if (!updated.equals(row.record())) {
                        writes.add(new Write(service, updated, row.revision()));
                    }
                });
        return writes;
    }

    private void writeNext(Queue<Write> writes, Map<String, Set<String>> registered) {
        Write write = writes.poll();
        if (write == null) {
            mRecorded = registered;
            mBusy = false;
            mTable.closeIdle();
            return;
        }
        mTable.write(
                write.service(),
                write.record(),
                write.replaced(),
                written -> {
                    if (!written) {
                        retryLater();
                        return;
                    }
                    logWritten(write);
                    writeNext(writes, registered);
                });
    }

    private void logWritten(Write write) {
        mState.log()
                .process(
                        LogLine.of("software-versions-recorded")
                                .with("service", write.service())
                                .with(
                                        "versions",
                                        String.join(",", write.record().leftMillis().keySet())));
    }

    private void retryLater() {
        mBusy = false;
        mDueMillis = mState.nowMillis() + RETRY_MILLIS;
    }
}
