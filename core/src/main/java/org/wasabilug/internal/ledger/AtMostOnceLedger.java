package org.wasabilug.internal.ledger;

import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;

/** Claims of stages that may not be repeated, kept in the platform's table service. */
public interface AtMostOnceLedger {
    /**
     * Claims a stage; the outcome comes with a later step.
     *
     * @param request the request
     * @param stage the stage
     * @param contentDigest digest of the caller's body and pipeline
     * @param nowNanos monotonic time, in nanoseconds
     * @return what to do now
     */
    LedgerStep claim(RequestId request, StageName stage, long contentDigest, long nowNanos);

    /**
     * Records the result of a claimed stage; it is tried until it is kept.
     *
     * @param request the request
     * @param stage the stage
     * @param result the whole result
     * @param nowNanos monotonic time, in nanoseconds
     * @return what to do now
     */
    LedgerStep record(RequestId request, StageName stage, String result, long nowNanos);

    /**
     * Gives a granted claim back, where no endpoint can have received the work.
     *
     * @param request the request
     * @param stage the stage
     * @param nowNanos monotonic time, in nanoseconds
     * @return what to do now
     */
    LedgerStep release(RequestId request, StageName stage, long nowNanos);

    /**
     * Takes an answer of the table service.
     *
     * @param event a commit or read that the ledger asked for
     * @param nowNanos monotonic time, in nanoseconds
     * @return what to do now
     */
    LedgerStep handle(InstanceEvent event, long nowNanos);

    /**
     * How many results wait to be kept by the table service.
     *
     * @return the count; a planned stop waits for zero
     */
    int unrecorded();
}
