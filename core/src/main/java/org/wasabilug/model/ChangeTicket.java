package org.wasabilug.model;

import java.util.List;

/**
 * A numbered change with the complete new state of each object that it changes.
 *
 * @param number positive number assigned by the operators; for each object the higher number wins
 * @param operator operator who submits the ticket
 * @param changes one entry per changed object
 */
public record ChangeTicket(long number, OperatorName operator, List<ObjectChange> changes) {
    /** Copies the list. */
    public ChangeTicket {
        changes = List.copyOf(changes);
    }
}
