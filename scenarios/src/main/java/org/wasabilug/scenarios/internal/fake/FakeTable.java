package org.wasabilug.scenarios.internal.fake;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowCondition;
import org.wasabilug.port.RowKey;
import org.wasabilug.port.RowWrite;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.TableTransaction;

/** Rows and transactions of the platform's table service, without fault injection. */
public final class FakeTable {
    private final Map<String, TreeMap<String, Row>> mTables = new TreeMap<>();

    /**
     * Commits a transaction atomically, or rejects it if a condition fails.
     *
     * @param transaction the transaction
     * @return committed, or rejected with the failed conditions and their existing rows
     */
    public CommitOutcome commit(TableTransaction transaction) {
        List<RowCondition> failed =
                transaction.conditions().stream().filter(each -> !holds(each)).toList();
        if (!failed.isEmpty()) {
            return new CommitOutcome.Rejected(failed, rowsAt(failed));
        }
        transaction.writes().forEach(this::write);
        return new CommitOutcome.Committed();
    }

    private boolean holds(RowCondition condition) {
        Row row = find(condition.key());
        return switch (condition) {
            case RowCondition.Absent absent -> row == null;
            case RowCondition.VersionIs version ->
                    row != null && row.version() == version.version();
        };
    }

    private List<Row> rowsAt(List<RowCondition> conditions) {
        List<Row> rows = new ArrayList<>();
        for (RowCondition condition : conditions) {
            Row row = find(condition.key());
            if (row != null) {
                rows.add(row);
            }
        }
        return rows;
    }

    private Row find(RowKey key) {
        return table(key.table()).get(key.key());
    }

    private TreeMap<String, Row> table(String name) {
        return mTables.computeIfAbsent(name, ignored -> new TreeMap<>());
    }

    private void write(RowWrite write) {
        RowKey key = write.key();
        switch (write) {
            case RowWrite.Put put -> {
                Row existing = find(key);
                long version = existing == null ? 1 : existing.version() + 1;
                table(key.table()).put(key.key(), new Row(key, put.value(), version));
            }
            case RowWrite.Delete delete -> table(key.table()).remove(key.key());
        }
    }

    /**
     * Reads rows.
     *
     * @param read keys or key range to read
     * @return the existing rows, in the order of the given keys or of the range
     */
    public List<Row> read(TableRead read) {
        return switch (read) {
            case TableRead.Points points ->
                    points.keys().stream().map(this::find).filter(row -> row != null).toList();
            case TableRead.Range range ->
                    table(range.table()).tailMap(range.afterKey(), false).values().stream()
                            .limit(range.limit())
                            .toList();
        };
    }
}
