package org.wasabilug.port;

import java.util.Optional;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.model.ObjectKey;

/**
 * State of a configuration object with the number of the ticket that set it.
 *
 * @param key identity of the object
 * @param ticketNumber number of the ticket
 * @param state complete state; empty if the ticket removed the object
 */
public record VersionedObject(
        ObjectKey key, long ticketNumber, Optional<ConfigurationObject> state) {}
