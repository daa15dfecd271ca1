package org.wasabilug.internal.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.wasabilug.port.VersionedObject;

/**
 * The configuration in force at one instance. The feed and the membership share it, so that what
 * either learns reaches the other.
 */
public final class ConfigurationState {
    private static final int MAX_PENDING_CHANGES = 1_024;

    private Configuration mConfiguration = Configuration.empty();
    private final List<VersionedObject> mPendingChanges = new ArrayList<>();

    /**
     * Merges objects; for each the higher ticket wins.
     *
     * @param objects objects with their tickets
     * @return true where the configuration changed
     */
    public boolean merge(Collection<VersionedObject> objects) {
        List<VersionedObject> newer = mConfiguration.newer(objects);
        if (newer.isEmpty()) {
            return false;
        }
        mConfiguration = mConfiguration.merge(newer);
        if (mPendingChanges.size() + newer.size() <= MAX_PENDING_CHANGES) {
            mPendingChanges.addAll(newer);
        }
        return true;
    }

    /**
     * Configuration in force.
     *
     * @return an immutable view
     */
    public Configuration configuration() {
        return mConfiguration;
    }

    /**
     * Takes what changed since the last call. Bulk loads are left out, since peers find those by
     * comparing.
     *
     * @return changed objects, oldest first
     */
    public List<VersionedObject> drainChanges() {
        List<VersionedObject> news = List.copyOf(mPendingChanges);
        mPendingChanges.clear();
        return news;
    }
}
