package org.wasabilug.model;

import java.util.List;

/**
 * A numbered change that carries the whole new state of each object it touches.
 *
 * @param number positive number that the operators give; for each object the higher number wins
 * @param operator who submits it
 * @param changes one entry for each object
 */
public record ChangeTicket(long number, OperatorName operator, List<ObjectChange> changes) {
    /** Copies the list. */
    public ChangeTicket {
        changes = List.copyOf(changes);
    }
}
