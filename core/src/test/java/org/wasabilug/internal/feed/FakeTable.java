package org.wasabilug.internal.feed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
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

/** In-memory table service. */
final class FakeTable {
    private static final Comparator<RowKey> ORDER =
            Comparator.comparing(RowKey::table).thenComparing(RowKey::key);

    private final TreeMap<RowKey, Row> mRows = new TreeMap<>(ORDER);

    CommitOutcome commit(TableTransaction transaction) {
        List<RowCondition> failed =
                transaction.conditions().stream().filter(each -> !holds(each)).toList();
        if (!failed.isEmpty()) {
            return new CommitOutcome.Rejected(failed, List.of());
        }
        transaction.writes().forEach(this::write);
        return new CommitOutcome.Committed();
    }

    private boolean holds(RowCondition condition) {
        Row row = mRows.get(condition.key());
        return switch (condition) {
            case RowCondition.Absent absent -> row == null;
            case RowCondition.VersionIs version ->
                    row != null && row.version() == version.version();
        };
    }

    private void write(RowWrite write) {
        switch (write) {
            case RowWrite.Put put -> {
                long version = find(put.key()).map(Row::version).orElse(0L) + 1;
                mRows.put(put.key(), new Row(put.key(), put.value(), version));
            }
            case RowWrite.Delete delete -> mRows.remove(delete.key());
        }
    }

    Optional<Row> find(RowKey key) {
        return Optional.ofNullable(mRows.get(key));
    }

    List<Row> read(TableRead read) {
        return switch (read) {
            case TableRead.Points points ->
                    points.keys().stream().map(mRows::get).filter(Objects::nonNull).toList();
            case TableRead.Range range -> range(range);
        };
    }

    private List<Row> range(TableRead.Range range) {
        List<Row> rows = new ArrayList<>();
        for (Row row : mRows.tailMap(new RowKey(range.table(), range.afterKey()), false).values()) {
            if (!row.key().table().equals(range.table()) || rows.size() == range.limit()) {
                break;
            }
            rows.add(row);
        }
        return rows;
    }
}
