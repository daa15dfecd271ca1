package org.wasabilug.internal.ledger;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.wasabilug.internal.table.RowJson;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowKey;

/**
 * Value of the row of a claim. Releasing a claim leaves a row without a token, so that a delayed
 * transaction can't restore the claim.
 *
 * @param token token of the attempt that holds the claim; empty if it was released
 * @param digest digest of request body and pipeline
 * @param result the recorded result; null if none is recorded
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ClaimRow(String token, long digest, String result) {
    /** Name of the table of claims. */
    public static final String TABLE = "ledger";

    /**
     * Returns the key of the row of a claim.
     *
     * @param request the request
     * @param stage the stage
     * @return the row key
     */
    public static RowKey keyOf(RequestId request, StageName stage) {
        return new RowKey(TABLE, request + "/" + stage);
    }

    /**
     * Parses the value of a row.
     *
     * @param row a row of the table {@link #TABLE}
     * @return the parsed value
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
