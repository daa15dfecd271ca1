package org.wasabilug.internal.event;

import java.util.List;
import org.wasabilug.model.Finding;
import org.wasabilug.model.ObjectKey;

/** Answer to a submitted ticket. */
public sealed interface TicketAnswer {
    /**
     * Accepted now.
     *
     * @param sequence its place in the feed
     */
    record Accepted(long sequence) implements TicketAnswer {}

    /**
     * The same ticket was accepted before.
     *
     * @param sequence its place in the feed
     */
    record AlreadyAccepted(long sequence) implements TicketAnswer {}

    /**
     * A touched object carries a newer ticket.
     *
     * @param object the object
     * @param newerNumber number of the newer ticket
     */
    record Superseded(ObjectKey object, long newerNumber) implements TicketAnswer {}

    /** The number was used before with other content. */
    record Conflict() implements TicketAnswer {}

    /**
     * The ticket has findings.
     *
     * @param findings each with its place
     */
    record Invalid(List<Finding> findings) implements TicketAnswer {
        /** Copies the list. */
        public Invalid {
            findings = List.copyOf(findings);
        }
    }

    /** The platform can't be reached; the ticket was not accepted. */
    record Unavailable() implements TicketAnswer {}

    /** Whether the ticket was accepted can't be known now; submit the same ticket again. */
    record Unknown() implements TicketAnswer {}
}
