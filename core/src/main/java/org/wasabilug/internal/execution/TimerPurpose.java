package org.wasabilug.internal.execution;

import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;

/** The reason for which a timer was scheduled. */
sealed interface TimerPurpose {
    /**
     * The deadline of a request passes.
     *
     * @param request the request
     */
    record Deadline(RequestId request) implements TimerPurpose {}

    /**
     * An attempt has used up the time of its stage.
     *
     * @param attempt the attempt
     */
    record AttemptOverdue(AttemptId attempt) implements TimerPurpose {}

    /**
     * The timeout of an attempt expires.
     *
     * @param attempt the attempt
     */
    record AttemptTimeout(AttemptId attempt) implements TimerPurpose {}

    /**
     * The delay before a retry elapses.
     *
     * @param request the request
     * @param stage the stage
     */
    record Retry(RequestId request, StageName stage) implements TimerPurpose {}

    /** The latest start time of a waiting call passes. */
    record LatestStart() implements TimerPurpose {}
}
