package org.wasabilug.internal.ticket;

import java.util.Collection;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.port.VersionedObject;

/** Where acceptance starts from when it works out the configuration that a ticket changes. */
public interface ConfigurationView {
    /**
     * The configuration in force here.
     *
     * @return an immutable view that holds every feed entry up to {@link #sequence()}
     */
    Configuration configuration();

    /**
     * Last feed entry within the view.
     *
     * @return its sequence; 0 where none has been applied
     */
    long sequence();

    /**
     * Takes the objects of an accepted ticket, which may come before its feed entry.
     *
     * @param objects objects with their tickets
     */
    void applyAccepted(Collection<VersionedObject> objects);
}
