package org.wasabilug.usage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ReadOutcome;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowCondition;
import org.wasabilug.port.RowKey;
import org.wasabilug.port.RowWrite;
import org.wasabilug.port.TableRead;

/** A minimal in-memory table service that answers synchronously. */
final class InMemoryTable {
    private final Map<RowKey, Row> mRows = new HashMap<>();

    Optional<InstanceEvent> perform(InstanceAction action) {
        return switch (action) {
            case InstanceAction.CommitTable commit -> Optional.of(commit(commit));
            case InstanceAction.ReadTable read -> Optional.of(read(read));
            default -> Optional.empty();
        };
    }

    private InstanceEvent read(InstanceAction.ReadTable action) {
        List<RowKey> keys = ((TableRead.Points) action.read()).keys();
        List<Row> rows = keys.stream().filter(mRows::containsKey).map(mRows::get).toList();
        return new InstanceEvent.ReadAnswered(action.operation(), new ReadOutcome.Rows(rows));
    }

    private InstanceEvent commit(InstanceAction.CommitTable action) {
        List<RowCondition> failed =
                action.transaction().conditions().stream().filter(each -> !holds(each)).toList();
        CommitOutcome outcome = new CommitOutcome.Committed();
        if (failed.isEmpty()) {
            action.transaction().writes().forEach(this::write);
        } else {
            List<Row> current =
                    failed.stream()
                            .map(each -> mRows.get(each.key()))
                            .flatMap(row -> Optional.ofNullable(row).stream())
                            .toList();
            outcome = new CommitOutcome.Rejected(failed, current);
        }
        return new InstanceEvent.CommitAnswered(action.operation(), outcome);
    }

    private boolean holds(RowCondition condition) {
        long version = version(condition.key());
        return switch (condition) {
            case RowCondition.Absent ignored -> version == 0;
            case RowCondition.VersionIs expected -> version == expected.version();
        };
    }

    private long version(RowKey key) {
        return Optional.ofNullable(mRows.get(key)).map(Row::version).orElse(0L);
    }

    private void write(RowWrite write) {
        switch (write) {
            case RowWrite.Put put ->
                    mRows.put(put.key(), new Row(put.key(), put.value(), version(put.key()) + 1));
            case RowWrite.Delete delete -> mRows.remove(delete.key());
        }
    }
}
