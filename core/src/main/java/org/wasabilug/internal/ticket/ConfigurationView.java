package org.wasabilug.internal.ticket;

import java.util.Collection;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.port.VersionedObject;

/** Local configuration against which submitted tickets are validated. */
public interface ConfigurationView {
    /**
     * Returns the active configuration of this instance.
     *
     * @return an immutable view that includes every feed entry up to {@link #sequence()}
     */
    Configuration configuration();

    /**
     * Returns the sequence number of the last feed entry in the view.
     *
     * @return the sequence number; 0 if no entry has been applied
     */
    long sequence();

    /**
     * Applies the objects of an accepted ticket, possibly before its feed entry has been read.
     *
     * @param objects changed objects with their ticket numbers
     */
    void applyAccepted(Collection<VersionedObject> objects);
}
