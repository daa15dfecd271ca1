package org.wasabilug.internal.order;

import org.wasabilug.internal.table.RowJson;
import org.wasabilug.model.PoolName;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowKey;

/**
 * Value of the table row that records which instance owns a pool, that is, sends orders to its
 * engines. The row is never deleted, so that fencing numbers only increase.
 *
 * @param holder instance that owns the pool
 * @param incarnation identity of the owner's process
 * @param epoch epoch of the owner's session lease
 * @param fencingNumber fencing number of the owner's orders
 */
public record PoolOwnershipRow(String holder, String incarnation, long epoch, long fencingNumber) {
    /** Table of pool ownerships. */
    public static final String TABLE = "orders";

    /** Returns the table and key of a pool's ownership row. */
    public static RowKey keyOf(PoolName pool) {
        return new RowKey(TABLE, pool.value());
    }

    /** Parses the value of an ownership row. */
    public static PoolOwnershipRow of(Row row) {
        return RowJson.read(row.value(), PoolOwnershipRow.class);
    }
}
