package org.wasabilug.port;

/** A write of a transaction. */
public sealed interface RowWrite {
    /** Returns the key of the row that is written. */
    RowKey key();

    /**
     * Inserts or replaces a row.
     *
     * @param key table and key of the row
     * @param value new content
     */
    record Put(RowKey key, String value) implements RowWrite {}

    /**
     * Deletes a row if it exists.
     *
     * @param key table and key of the row
     */
    record Delete(RowKey key) implements RowWrite {}
}
