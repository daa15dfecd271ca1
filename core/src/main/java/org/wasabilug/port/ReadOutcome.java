package org.wasabilug.port;

import java.util.List;

/** Outcome of a read from the table service. */
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

    /** The service can't be reached or did not answer in time. */
    record Unavailable() implements ReadOutcome {}
}
