package org.wasabilug.port;

/** What must hold for a transaction to commit. */
public sealed interface RowCondition {
    /**
     * Place that the condition speaks of.
     *
     * @return the key
     */
    RowKey key();

    /**
     * No such row exists.
     *
     * @param key place of the row
     */
    record Absent(RowKey key) implements RowCondition {}

    /**
     * The row exists with just this version.
     *
     * @param key place of the row
     * @param version expected version
     */
    record VersionIs(RowKey key, long version) implements RowCondition {}
}
