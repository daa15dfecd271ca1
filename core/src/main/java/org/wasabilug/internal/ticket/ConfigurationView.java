package org.wasabilug.internal.ticket;

import java.util.Collection;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.port.VersionedObject;

/** Local configuration against which submitted tickets are validated. */
public interface ConfigurationView {
    /**
     * Returns an immutable view of the active configuration of this instance, which includes every
     * feed entry up to {@link #sequence()}.
     */
    Configuration configuration();

    /**
     * Returns the sequence number of the last feed entry in the view; 0 if no entry has been
     * applied.
     */
    long sequence();

    /** Applies the objects of an accepted ticket, possibly before its feed entry has been read. */
    void applyAccepted(Collection<VersionedObject> objects);
}
