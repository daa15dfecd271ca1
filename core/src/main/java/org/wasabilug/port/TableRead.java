package org.wasabilug.port;

import java.util.List;

/** A read of the table service; it sees all transactions that were answered before it. */
public sealed interface TableRead {
    /**
     * Reads single rows.
     *
     * @param keys places of the rows
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
     * @param afterKey keys greater than this; empty text reads from the start
     * @param limit most rows to return
     */
    record Range(String table, String afterKey, int limit) implements TableRead {}
}
