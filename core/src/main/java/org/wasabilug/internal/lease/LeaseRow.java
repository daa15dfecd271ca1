package org.wasabilug.internal.lease;

import org.wasabilug.internal.table.RowJson;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowKey;

/**
 * Value of the row that holds a session lease. The row is never deleted, so that its version and
 * epoch only grow.
 *
 * @param epoch number of the holder's session, growing
 * @param incarnation identity of the process that holds it
 * @param termMilliseconds how long a renewal lasts
 * @param released true where the holder gave it back
 */
public record LeaseRow(long epoch, String incarnation, long termMilliseconds, boolean released) {
    /** Table of the session leases. */
    public static final String TABLE = "leases";

    /**
     * Place of an instance's lease.
     *
     * @param instance the instance
     * @return the key
     */
    public static RowKey keyOf(InstanceName instance) {
        return new RowKey(TABLE, instance.value());
    }

    /**
     * Reads the value of a row.
     *
     * @param row the row
     * @return its value
     */
    public static LeaseRow of(Row row) {
        return RowJson.read(row.value(), LeaseRow.class);
    }
}
