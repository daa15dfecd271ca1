package org.wasabilug.internal.ledger;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.wasabilug.internal.table.RowJson;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowKey;

/**
 * Value of the row that holds a claim. A claim that is given back leaves a row without a token, so
 * that a transaction delayed on its way can't bring the claim back to life.
 *
 * @param token identity of the attempt that holds the claim; empty where none does
 * @param digest digest of the caller's body and pipeline
 * @param result the recorded result; null before
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ClaimRow(String token, long digest, String result) {
    /** Table of the claims. */
    public static final String TABLE = "ledger";

    /**
     * Place of a claim.
     *
     * @param request the request
     * @param stage the stage
     * @return the key
     */
    public static RowKey keyOf(RequestId request, StageName stage) {
        return new RowKey(TABLE, request + "/" + stage);
    }

    /**
     * Reads the value of a row.
     *
     * @param row the row
     * @return its value
     */
    public static ClaimRow of(Row row) {
        return RowJson.read(row.value(), ClaimRow.class);
    }

    boolean isFree() {
        return token.isEmpty();
    }

    boolean isRecorded() {
        return result != null;
    }
}
