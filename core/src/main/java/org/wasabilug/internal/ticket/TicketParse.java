package org.wasabilug.internal.ticket;

import java.util.List;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.Finding;

/** Result of parsing a ticket file. */
public sealed interface TicketParse {
    /**
     * The file is well formed.
     *
     * @param ticket the parsed ticket
     */
    record Parsed(ChangeTicket ticket) implements TicketParse {}

    /**
     * The file has findings.
     *
     * @param findings all findings, each with its place
     */
    record Rejected(List<Finding> findings) implements TicketParse {
        /** Copies the list. */
        public Rejected {
            findings = List.copyOf(findings);
        }
    }
}
