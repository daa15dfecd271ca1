package org.wasabilug.port;

/** One write of a transaction. */
public sealed interface RowWrite {
    /**
     * Place that is written.
     *
     * @return the key
     */
    RowKey key();

    /**
     * Inserts or replaces a row.
     *
     * @param key place of the row
     * @param value new text
     */
    record Put(RowKey key, String value) implements RowWrite {}

    /**
     * Removes a row where it exists.
     *
     * @param key place of the row
     */
    record Delete(RowKey key) implements RowWrite {}
}
