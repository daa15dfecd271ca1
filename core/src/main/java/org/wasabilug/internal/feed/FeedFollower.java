package org.wasabilug.internal.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wasabilug.internal.configuration.ConfigurationState;
import org.wasabilug.internal.ticket.TicketCodec;
import org.wasabilug.internal.ticket.TicketRows;
import org.wasabilug.port.ObjectOutcome;
import org.wasabilug.port.Row;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.VersionedObject;

/**
 * Chooses the next read that advances the configuration, and applies the result.
 *
 * <p>Following starts from the snapshot. If the snapshot is missing, damaged or older than the
 * oldest retained feed row, the whole object table is scanned instead, after reading the feed head.
 * In both cases a merge keeps the higher ticket number of each object, so reading outdated rows is
 * harmless.
 */
final class FeedFollower {
    static final String SNAPSHOT_NAME = "configuration/snapshot";
    static final int FEED_ROWS_PER_READ = 200;
    static final int OBJECT_ROWS_PER_READ = 500;
    private static final int MAX_SNAPSHOT_ATTEMPTS = 2;

    private final ConfigurationState mState;
    private Phase mPhase = Phase.SNAPSHOT;
    private long mSequence;
    private long mSnapshotSequence;
    private long mScanSequence;
    private String mScanAfter = "";
    private int mSnapshotFailures;
    private boolean mGapDetected;

    FeedFollower(ConfigurationState state) {
        mState = state;
    }

    long sequence() {
        return mSequence;
    }

    long snapshotSequence() {
        return mSnapshotSequence;
    }

    boolean needsSnapshot() {
        return mPhase == Phase.SNAPSHOT;
    }

    boolean isFollowing() {
        return mPhase == Phase.FEED;
    }

    TableRead nextRead() {
        return switch (mPhase) {
            case SNAPSHOT, HEAD -> new TableRead.Points(List.of(TicketRows.HEAD));
            case OBJECTS ->
                    new TableRead.Range(TicketRows.OBJECT_TABLE, mScanAfter, OBJECT_ROWS_PER_READ);
            case FEED ->
                    new TableRead.Range(
                            TicketRows.FEED_TABLE,
                            TicketRows.feedKey(mSequence),
                            FEED_ROWS_PER_READ);
        };
    }

    /** Handles the answer to a snapshot read; returns false if the object store did not answer. */
    boolean onSnapshot(ObjectOutcome outcome) {
        if (outcome instanceof ObjectOutcome.Unavailable) {
            mSnapshotFailures++;
            if (mSnapshotFailures >= MAX_SNAPSHOT_ATTEMPTS) {
                mPhase = Phase.HEAD;
            }
            return false;
        }
        Optional<SnapshotCodec.Snapshot> snapshot =
                outcome instanceof ObjectOutcome.Found found
                        ? SnapshotCodec.read(found.text())
                        : Optional.empty();
        snapshot.ifPresentOrElse(this::applySnapshot, () -> mPhase = Phase.HEAD);
        return true;
    }

    private void applySnapshot(SnapshotCodec.Snapshot snapshot) {
        mSnapshotSequence = snapshot.sequence();
        mState.merge(snapshot.objects());
        boolean closesGap = !mGapDetected || snapshot.sequence() > mSequence;
        mSequence = Math.max(mSequence, snapshot.sequence());
        mPhase = closesGap ? Phase.FEED : Phase.HEAD;
    }

    /**
     * Applies the rows of the last read; returns true if the next read should follow immediately.
     */
    boolean onRows(List<Row> rows) {
        return switch (mPhase) {
            case SNAPSHOT -> true;
            case HEAD -> onHead(rows);
            case OBJECTS -> onObjects(rows);
            case FEED -> onFeed(rows);
        };
    }

    private boolean onHead(List<Row> rows) {
        mScanSequence = rows.isEmpty() ? 0 : TicketRows.sequenceOf(rows.getFirst());
        mScanAfter = "";
        mPhase = Phase.OBJECTS;
        return true;
    }

    private boolean onObjects(List<Row> rows) {
        List<VersionedObject> objects =
                rows.stream()
                        .flatMap(row -> TicketCodec.readVersioned(row.value()).stream())
                        .toList();
        mState.merge(objects);
        if (rows.size() < OBJECT_ROWS_PER_READ) {
            mSequence = Math.max(mSequence, mScanSequence);
            mPhase = Phase.FEED;
            mGapDetected = false;
        } else {
            mScanAfter = rows.getLast().key().key();
        }
        return true;
    }

    private boolean onFeed(List<Row> rows) {
        List<VersionedObject> objects = new ArrayList<>();
        for (Row row : rows) {
            Optional<TicketRows.FeedEntry> entry = TicketRows.feedEntry(row);
            if (entry.isEmpty() || entry.get().sequence() != mSequence + 1) {
                mState.merge(objects);
                onGap();
                return true;
            }
            objects.addAll(TicketCodec.objectsOf(entry.get().ticket()));
            mSequence = entry.get().sequence();
        }
        mState.merge(objects);
        mGapDetected &= rows.isEmpty();
        return rows.size() == FEED_ROWS_PER_READ;
    }

    /**
     * A second gap in a row shows that the snapshot does not close it, so the object table is
     * scanned.
     */
    private void onGap() {
        mPhase = mGapDetected ? Phase.HEAD : Phase.SNAPSHOT;
        mGapDetected = true;
        mSnapshotFailures = 0;
    }

    private enum Phase {
        SNAPSHOT,
        HEAD,
        OBJECTS,
        FEED
    }
}
