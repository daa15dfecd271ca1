package org.wasabilug.model;

import java.util.Optional;

/**
 * Change of one object in a ticket.
 *
 * @param key identity of the object
 * @param state complete new state; empty if the ticket removes the object
 */
public record ObjectChange(ObjectKey key, Optional<ConfigurationObject> state) {}
