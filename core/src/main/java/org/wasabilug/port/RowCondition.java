package org.wasabilug.port;

/** Condition that must be met for a transaction to commit. */
public sealed interface RowCondition {
    /** Returns the key of the row that the condition applies to. */
    RowKey key();

    /**
     * The row does not exist.
     *
     * @param key table and key of the row
     */
    record Absent(RowKey key) implements RowCondition {}

    /**
     * The row exists with exactly the expected version.
     *
     * @param key table and key of the row
     * @param version expected version
     */
    record VersionIs(RowKey key, long version) implements RowCondition {}
}
