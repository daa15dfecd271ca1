package org.wasabilug.entry;

import java.util.List;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.Finding;

/** Reads the JSON form of change tickets. */
@FunctionalInterface
public interface TicketReader {
    /**
     * Reads a ticket.
     *
     * @param json the JSON text
     * @return the ticket, or everything that is wrong with the text
     */
    Outcome read(String json);

    /** Result of reading a ticket. */
    sealed interface Outcome {}

    /**
     * The text is a ticket.
     *
     * @param ticket the ticket
     */
    record Parsed(ChangeTicket ticket) implements Outcome {}

    /**
     * The text is no ticket.
     *
     * @param findings each with its place
     */
    record Rejected(List<Finding> findings) implements Outcome {
        /** Copies the list. */
        public Rejected {
            findings = List.copyOf(findings);
        }
    }
}
