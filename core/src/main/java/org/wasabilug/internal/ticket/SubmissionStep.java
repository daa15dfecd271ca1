package org.wasabilug.internal.ticket;

import org.wasabilug.internal.event.TicketAnswer;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.TableTransaction;

/** What a submission needs next. */
sealed interface SubmissionStep {
    /** A read of the table service. */
    record Read(TableRead read) implements SubmissionStep {}

    /** A transaction of the table service. */
    record Commit(TableTransaction transaction) implements SubmissionStep {}

    /** Another try after a while. */
    record Pause() implements SubmissionStep {}

    /** Nothing; an answer is still to come. */
    record Wait() implements SubmissionStep {}

    /** The end. */
    record Answer(TicketAnswer answer) implements SubmissionStep {}
}
