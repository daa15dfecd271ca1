package org.wasabilug.port;

import java.util.List;

/**
 * A read of the table service; it includes the effects of all transactions that were answered
 * before it.
 */
public sealed interface TableRead {
    /**
     * Reads individual rows.
     *
     * @param keys tables and keys of the rows
     */
    record Points(List<RowKey> keys) implements TableRead {
        /** Copies the list. */
        public Points {
            keys = List.copyOf(keys);
        }
    }

    /**
     * Reads rows in the order of their keys.
     *
     * @param table name of the table
     * @param afterKey only rows with greater keys are read; empty to read from the start
     * @param limit maximum number of rows to return
     */
    record Range(String table, String afterKey, int limit) implements TableRead {}
}
