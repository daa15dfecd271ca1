package org.wasabilug.port;

import java.util.List;

/**
 * An atomic conditional transaction: either all writes take effect or none.
 *
 * @param conditions conditions, all of which must be met
 * @param writes writes, which take effect together
 */
public record TableTransaction(List<RowCondition> conditions, List<RowWrite> writes) {
    /** Copies the lists. */
    public TableTransaction {
        conditions = List.copyOf(conditions);
        writes = List.copyOf(writes);
    }
}
