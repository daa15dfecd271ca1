package org.wasabilug.internal.event;

import java.util.List;
import org.wasabilug.model.Finding;
import org.wasabilug.model.ObjectKey;

/** Answer to a submitted ticket. */
public sealed interface TicketAnswer {
    /**
     * The ticket was accepted by this submission.
     *
     * @param sequence sequence number of the ticket in the feed
     */
    record Accepted(long sequence) implements TicketAnswer {}

    /**
     * The same ticket was accepted before.
     *
     * @param sequence sequence number of the ticket in the feed
     */
    record AlreadyAccepted(long sequence) implements TicketAnswer {}

    /**
     * An object of the ticket was already changed by a newer ticket.
     *
     * @param object the object
     * @param newerNumber number of the newer ticket
     */
    record Superseded(ObjectKey object, long newerNumber) implements TicketAnswer {}

    /** The ticket number was used before with other content. */
    record Conflict() implements TicketAnswer {}

    /**
     * The ticket is invalid.
     *
     * @param findings validation findings, each with its location in the ticket
     */
    record Invalid(List<Finding> findings) implements TicketAnswer {
        /** Copies the list. */
        public Invalid {
            findings = List.copyOf(findings);
        }
    }

    /** The platform is unreachable; the ticket was not accepted. */
    record Unavailable() implements TicketAnswer {}

    /** It is unknown whether the ticket was accepted; the operator should resubmit it unchanged. */
    record Unknown() implements TicketAnswer {}
}
