package org.wasabilug.entry;

import java.util.List;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.Finding;

/** Parses the JSON format of change tickets. */
@FunctionalInterface
public interface TicketReader {
    /**
     * Parses a ticket.
     *
     * @param json JSON text
     * @return the ticket, or every error in the text
     */
    Outcome read(String json);

    /** Result of parsing a ticket. */
    sealed interface Outcome {}

    /**
     * The text is a valid ticket.
     *
     * @param ticket parsed ticket
     */
    record Parsed(ChangeTicket ticket) implements Outcome {}

    /**
     * The text is not a valid ticket.
     *
     * @param findings every error, with its location
     */
    record Rejected(List<Finding> findings) implements Outcome {
        /** Copies the list. */
        public Rejected {
            findings = List.copyOf(findings);
        }
    }
}
