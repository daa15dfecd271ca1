package org.wasabilug.port;

import java.util.List;

/**
 * Conditions and writes that take effect together or not at all.
 *
 * @param conditions all must hold
 * @param writes all take effect
 */
public record TableTransaction(List<RowCondition> conditions, List<RowWrite> writes) {
    /** Copies the lists. */
    public TableTransaction {
        conditions = List.copyOf(conditions);
        writes = List.copyOf(writes);
    }
}
