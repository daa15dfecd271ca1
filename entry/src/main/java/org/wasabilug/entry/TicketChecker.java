package org.wasabilug.entry;

import java.util.List;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.Finding;

/** Validates a ticket against the active configuration without submitting it. */
@FunctionalInterface
public interface TicketChecker {
    /**
     * Validates a ticket.
     *
     * @param ticket ticket to validate
     * @param configuration active configuration of this instance
     * @return every error, with its location; empty if the ticket would be accepted
     */
    List<Finding> check(ChangeTicket ticket, Configuration configuration);
}
