package org.wasabilug.gateway.internal.store;

import java.util.List;
import org.wasabilug.gateway.protocol.StoredRow;

/** Receives the contents of a followed table. */
public interface TableEvents {
    /**
     * Called when the whole table was read.
     *
     * @param rows all rows of the table
     */
    void replaced(List<StoredRow> rows);

    /**
     * Called when rows have changed.
     *
     * @param rows changed rows in order
     */
    void changed(List<StoredRow> rows);

    /**
     * Called when the store becomes available or unavailable.
     *
     * @param available true if the store responds
     * @param reason what was observed
     */
    void availabilityChanged(boolean available, String reason);

    /**
     * Called when the receiver could not take rows in. The table is followed further.
     *
     * @param cause the exception that the receiver threw
     */
    void rowsNotApplied(Throwable cause);
}
