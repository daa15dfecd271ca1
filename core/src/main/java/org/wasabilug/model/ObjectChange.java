package org.wasabilug.model;

import java.util.Optional;

/**
 * New state of one object in a ticket.
 *
 * @param key identity of the object
 * @param state whole new state; empty where the ticket removes the object
 */
public record ObjectChange(ObjectKey key, Optional<ConfigurationObject> state) {}
