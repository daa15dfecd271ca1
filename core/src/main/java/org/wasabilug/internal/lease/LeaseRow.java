package org.wasabilug.internal.lease;

import org.wasabilug.internal.table.RowJson;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowKey;

/**
 * Value of the table row that holds a session lease. The row is never deleted, so that its version
 * and epoch only increase.
 *
 * @param epoch number of the session; increases with each session
 * @param incarnation identity of the process that holds the lease
 * @param termMilliseconds term of a renewal
 * @param released true if the holder released the lease
 */
public record LeaseRow(long epoch, String incarnation, long termMilliseconds, boolean released) {
    /** Table of the session leases. */
    public static final String TABLE = "leases";

    /** Returns the table and key of an instance's lease row. */
    public static RowKey keyOf(InstanceName instance) {
        return new RowKey(TABLE, instance.value());
    }

    /** Parses the value of a lease row. */
    public static LeaseRow of(Row row) {
        return RowJson.read(row.value(), LeaseRow.class);
    }
}
