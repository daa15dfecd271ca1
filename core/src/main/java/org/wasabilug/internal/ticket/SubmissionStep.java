package org.wasabilug.internal.ticket;

import org.wasabilug.internal.event.TicketAnswer;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.TableTransaction;

/** Next step of a {@link Submission}. */
sealed interface SubmissionStep {
    /** Read from the table service. */
    record Read(TableRead read) implements SubmissionStep {}

    /** Commit a transaction at the table service. */
    record Commit(TableTransaction transaction) implements SubmissionStep {}

    /** Retry the current step after a backoff. */
    record Pause() implements SubmissionStep {}

    /** Do nothing; an answer is still outstanding. */
    record Wait() implements SubmissionStep {}

    /** Answer the submitter; the submission has ended. */
    record Answer(TicketAnswer answer) implements SubmissionStep {}
}
