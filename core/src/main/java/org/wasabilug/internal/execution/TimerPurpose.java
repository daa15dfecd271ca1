package org.wasabilug.internal.execution;

import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;

/** What a timer is for. */
sealed interface TimerPurpose {
    /**
     * The deadline of a request.
     *
     * @param request the request
     */
    record Deadline(RequestId request) implements TimerPurpose {}

    /**
     * An attempt has used up its time.
     *
     * @param attempt the attempt
     */
    record AttemptTimeout(AttemptId attempt) implements TimerPurpose {}

    /**
     * The delay before a retry is over.
     *
     * @param request the request
     * @param stage the stage
     */
    record Retry(RequestId request, StageName stage) implements TimerPurpose {}

    /** A waiting call can no longer make its deadline from now on. */
    record LatestStart() implements TimerPurpose {}
}
