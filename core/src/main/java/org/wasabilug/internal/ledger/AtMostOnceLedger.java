package org.wasabilug.internal.ledger;

import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;

/** Ledger of the claims of at-most-once stages, stored in the platform's table service. */
public interface AtMostOnceLedger {
    /**
     * Claims a stage. This step or a later one reports the outcome.
     *
     * @param request the request
     * @param stage the stage
     * @param contentDigest digest of request body and pipeline
     * @param nowNanos current monotonic time, in nanoseconds
     * @return actions to perform and claims that were settled
     */
    LedgerStep claim(RequestId request, StageName stage, long contentDigest, long nowNanos);

    /**
     * Records the result of a claimed stage. The write is retried until it is committed.
     *
     * @param request the request
     * @param stage the stage
     * @param result the complete result
     * @param nowNanos current monotonic time, in nanoseconds
     * @return actions to perform and claims that were settled
     */
    LedgerStep record(RequestId request, StageName stage, String result, long nowNanos);

    /**
     * Releases a granted claim. Call it only if no endpoint can have received the work.
     *
     * @param request the request
     * @param stage the stage
     * @param nowNanos current monotonic time, in nanoseconds
     * @return actions to perform and claims that were settled
     */
    LedgerStep release(RequestId request, StageName stage, long nowNanos);

    /**
     * Handles a response of the table service and ignores other events.
     *
     * @param event the event
     * @param nowNanos current monotonic time, in nanoseconds
     * @return actions to perform and claims that were settled
     */
    LedgerStep handle(InstanceEvent event, long nowNanos);

    /**
     * Returns the number of results that are not yet committed to the table service.
     *
     * @return the count; a planned stop waits until it is zero
     */
    int unrecorded();
}
