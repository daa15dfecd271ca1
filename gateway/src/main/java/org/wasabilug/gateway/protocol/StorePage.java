package org.wasabilug.gateway.protocol;

import java.util.List;

/**
 * A page of rows from the store.
 *
 * @param rows rows in order of their keys or of their changes
 * @param version newest version of the store, within its era
 * @param storeMillis time of the store's steady clock, in milliseconds
 * @param more true if further rows follow
 */
public record StorePage(List<StoredRow> rows, long version, long storeMillis, boolean more) {
    /** Copies the list of rows. */
    public StorePage {
        rows = List.copyOf(rows);
    }
}
