package org.wasabilug.internal.order;

import org.wasabilug.internal.table.RowJson;
import org.wasabilug.model.PoolName;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowKey;

/**
 * Value of the row that holds the right to order the engines of one pool. It is never deleted, so
 * that fencing numbers only grow.
 *
 * @param holder instance that holds the right
 * @param incarnation process that holds it
 * @param epoch epoch of the holder's session lease
 * @param fencingNumber number that the holder's orders carry
 */
public record PoolOwnershipRow(String holder, String incarnation, long epoch, long fencingNumber) {
    /** Table of the rights. */
    public static final String TABLE = "orders";

    /**
     * Place of the right over a pool.
     *
     * @param pool the pool
     * @return the key
     */
    public static RowKey keyOf(PoolName pool) {
        return new RowKey(TABLE, pool.value());
    }

    /**
     * Reads the value of a row.
     *
     * @param row the row
     * @return its value
     */
    public static PoolOwnershipRow of(Row row) {
        return RowJson.read(row.value(), PoolOwnershipRow.class);
    }
}
