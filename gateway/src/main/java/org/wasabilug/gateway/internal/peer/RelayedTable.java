package org.wasabilug.gateway.internal.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wasabilug.gateway.protocol.StoredRow;
import org.wasabilug.serving.StoreRevision;

/** Rows of one table of the store, and those that were removed lately, as they are relayed. */
final class RelayedTable {
    /**
     * Age from which a removal is relayed. Entries may expire while the store is unavailable and
     * are then written again.
     */
    private static final long MIN_REMOVAL_AGE_MILLIS = 2_500;

    private static final long MAX_REMOVAL_AGE_MILLIS = 30_000;

    private final Map<String, StoredRow> mRows = new HashMap<>();
    private final Map<String, Removal> mRemovals = new HashMap<>();

    private record Removal(StoredRow row, long removedMillis) {}

    /** Replaces all rows by those that were read in an era of the store. */
    void replace(List<StoredRow> all, long era, long nowMillis) {
        Set<String> missing = new HashSet<>(mRows.keySet());
        all.forEach(row -> missing.remove(row.key()));
        for (String key : missing) {
            apply(new StoredRow(key, new byte[0], removal(key, era), true), nowMillis);
        }
        all.forEach(row -> apply(row, nowMillis));
    }

    /** Returns a revision after that of a known row and before that of any later one. */
    private StoreRevision removal(String key, long era) {
        StoreRevision last = mRows.get(key).revision();
        return new StoreRevision(era, last.era() == era ? last.version() + 1 : 0);
    }

    /** Applies a change. */
    void apply(StoredRow row, long nowMillis) {
        if (row.removed()) {
            mRows.remove(row.key());
            mRemovals.put(row.key(), new Removal(row, nowMillis));
        } else {
            mRows.put(row.key(), row);
            mRemovals.remove(row.key());
        }
    }

    /** Returns whether a relayed row is newer than what is known. */
    boolean isNews(StoredRow row) {
        StoredRow known = mRows.get(row.key());
        Removal removal = mRemovals.get(row.key());
        return (known == null || row.revision().isAfter(known.revision()))
                && (removal == null || row.revision().isAfter(removal.row().revision()))
                && !(row.removed() && known == null);
    }

    /** Returns the rows that changed after a revision, and all removals to be relayed. */
    List<StoredRow> changesAfter(StoreRevision revision, long nowMillis) {
        List<StoredRow> changes = new ArrayList<>();
        for (StoredRow row : mRows.values()) {
            if (row.revision().isAfter(revision)) {
                changes.add(row);
            }
        }
        mRemovals
                .values()
                .removeIf(each -> nowMillis - each.removedMillis() > MAX_REMOVAL_AGE_MILLIS);
        for (Removal removal : mRemovals.values()) {
            if (nowMillis - removal.removedMillis() >= MIN_REMOVAL_AGE_MILLIS) {
                changes.add(removal.row());
            }
        }
        return changes;
    }
}
