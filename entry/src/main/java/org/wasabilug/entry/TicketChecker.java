package org.wasabilug.entry;

import java.util.List;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.Finding;

/** Checks a ticket against the configuration in force, without submitting it. */
@FunctionalInterface
public interface TicketChecker {
    /**
     * Checks a ticket.
     *
     * @param ticket the ticket
     * @param configuration configuration in force at this instance
     * @return everything that is wrong, each with its place; empty where it would be accepted
     */
    List<Finding> check(ChangeTicket ticket, Configuration configuration);
}
