package org.wasabilug.gateway.internal.store;

import java.util.List;
import org.wasabilug.gateway.protocol.StoredRow;

/** Receives the content of a followed table. */
public interface TableEvents {
    /**
     * The whole table was read.
     *
     * @param rows all its rows
     */
    void replaced(List<StoredRow> rows);

    /**
     * Rows have changed.
     *
     * @param rows changed rows in order
     */
    void changed(List<StoredRow> rows);

    /**
     * The store began, or ceased, to answer.
     *
     * @param answering true where it answers
     * @param reason what was seen
     */
    void availabilityChanged(boolean answering, String reason);
}
