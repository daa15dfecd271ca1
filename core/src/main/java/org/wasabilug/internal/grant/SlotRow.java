package org.wasabilug.internal.grant;

import org.wasabilug.internal.table.RowJson;
import org.wasabilug.model.EndpointName;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowKey;

/**
 * Value of the row of a cold-start slot of an endpoint. The row is never deleted, so that its
 * version only increases and a delayed transaction can't overwrite a later state.
 *
 * @param holder instance that holds the slot; empty if it is free
 * @param incarnation process incarnation that holds the slot
 * @param epoch epoch of the holder's session lease
 * @param generation generation of the endpoint when the slot was acquired; 0 if unknown
 */
public record SlotRow(String holder, String incarnation, long epoch, long generation) {
    /** Name of the table of cold-start slots. */
    public static final String TABLE = "grants";

    /** Value of a free slot. */
    public static final SlotRow FREE = new SlotRow("", "", 0, 0);

    /**
     * Returns the key of the row of a slot.
     *
     * @param endpoint the endpoint
     * @param slot index of the slot, from 0
     * @return the row key
     */
    public static RowKey keyOf(EndpointName endpoint, int slot) {
        return new RowKey(TABLE, endpoint + "/" + slot);
    }

    /**
     * Parses the value of a row.
     *
     * @param row a row of the table {@link #TABLE}
     * @return the parsed value
     */
    public static SlotRow of(Row row) {
        return RowJson.read(row.value(), SlotRow.class);
    }

    boolean isFree() {
        return holder.isEmpty();
    }
}
