package org.wasabilug.port;

import java.util.List;

/** Answer to a read of the table service. */
public sealed interface ReadOutcome {
    /**
     * The rows that exist, in key order.
     *
     * @param rows the rows
     */
    record Rows(List<Row> rows) implements ReadOutcome {
        /** Copies the list. */
        public Rows {
            rows = List.copyOf(rows);
        }
    }

    /** The service can't be reached or is too slow. */
    record Unavailable() implements ReadOutcome {}
}
