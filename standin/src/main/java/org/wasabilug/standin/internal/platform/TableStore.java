package org.wasabilug.standin.internal.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowCondition;
import org.wasabilug.port.RowKey;
import org.wasabilug.port.RowWrite;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.TableTransaction;

/** Tables in memory; transactions are applied one at a time. */
public final class TableStore {
    private final Map<String, TreeMap<String, Row>> mTables = new HashMap<>();

    /** Creates a store without rows. */
    public TableStore() {}

    /**
     * Applies all writes of a transaction if all its conditions are met; otherwise rejects it with
     * the unmet conditions and their current rows.
     */
    public synchronized CommitOutcome commit(TableTransaction transaction) {
        List<RowCondition> unmet =
                transaction.conditions().stream().filter(condition -> !isMet(condition)).toList();
        if (!unmet.isEmpty()) {
            return new CommitOutcome.Rejected(unmet, currentRows(unmet));
        }
        transaction.writes().forEach(this::write);
        return new CommitOutcome.Committed();
    }

    /** Returns the existing rows among those requested, in key order. */
    public synchronized List<Row> read(TableRead read) {
        return switch (read) {
            case TableRead.Points points -> readPoints(points);
            case TableRead.Range range -> readRange(range);
        };
    }

    private List<Row> readPoints(TableRead.Points points) {
        return points.keys().stream()
                .distinct()
                .map(this::find)
                .flatMap(Optional::stream)
                .sorted((first, second) -> first.key().key().compareTo(second.key().key()))
                .toList();
    }

    private List<Row> readRange(TableRead.Range range) {
        return table(range.table()).tailMap(range.afterKey(), false).values().stream()
                .limit(range.limit())
                .toList();
    }

    private boolean isMet(RowCondition condition) {
        Optional<Row> row = find(condition.key());
        return switch (condition) {
            case RowCondition.Absent absent -> row.isEmpty();
            case RowCondition.VersionIs versionIs ->
                    row.isPresent() && row.get().version() == versionIs.version();
        };
    }

    private List<Row> currentRows(List<RowCondition> conditions) {
        List<Row> rows = new ArrayList<>();
        conditions.forEach(condition -> find(condition.key()).ifPresent(rows::add));
        return rows;
    }

    private void write(RowWrite write) {
        RowKey key = write.key();
        switch (write) {
            case RowWrite.Put put -> table(key.table()).put(key.key(), nextVersion(put));
            case RowWrite.Delete delete -> table(key.table()).remove(key.key());
        }
    }

    private Row nextVersion(RowWrite.Put put) {
        long version = find(put.key()).map(Row::version).orElse(0L) + 1;
        return new Row(put.key(), Objects.requireNonNull(put.value()), version);
    }

    private Optional<Row> find(RowKey key) {
        return Optional.ofNullable(table(key.table()).get(key.key()));
    }

    private TreeMap<String, Row> table(String name) {
        return mTables.computeIfAbsent(name, key -> new TreeMap<>());
    }
}
