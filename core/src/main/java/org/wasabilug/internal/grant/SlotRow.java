package org.wasabilug.internal.grant;

import org.wasabilug.internal.table.RowJson;
import org.wasabilug.model.EndpointName;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowKey;

/**
 * Value of the row that holds one cold-start slot of an endpoint. The row is never deleted, so that
 * its version only grows and a delayed transaction can't take effect on a later state.
 *
 * @param holder instance that holds the slot; empty where none does
 * @param incarnation process that holds it
 * @param epoch epoch of the holder's session lease
 * @param generation life of the endpoint when the slot was taken; 0 where unknown
 */
public record SlotRow(String holder, String incarnation, long epoch, long generation) {
    /** Table of the cold-start slots. */
    public static final String TABLE = "grants";

    /** A slot that nobody holds. */
    public static final SlotRow FREE = new SlotRow("", "", 0, 0);

    /**
     * Place of a slot.
     *
     * @param endpoint the endpoint
     * @param slot number of the slot, from 0
     * @return the key
     */
    public static RowKey keyOf(EndpointName endpoint, int slot) {
        return new RowKey(TABLE, endpoint + "/" + slot);
    }

    /**
     * Reads the value of a row.
     *
     * @param row the row
     * @return its value
     */
    public static SlotRow of(Row row) {
        return RowJson.read(row.value(), SlotRow.class);
    }

    boolean isFree() {
        return holder.isEmpty();
    }
}
