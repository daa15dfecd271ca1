package org.wasabilug.gateway.protocol;

import java.util.List;

/**
 * An answer of the store.
 *
 * @param rows rows in order of their keys, or of their changes
 * @param version newest version of the store
 * @param more true where further rows follow
 */
public record StorePage(List<StoredRow> rows, long version, boolean more) {
    /** Copies the list. */
    public StorePage {
        rows = List.copyOf(rows);
    }
}
