package org.wasabilug.internal.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.wasabilug.port.VersionedObject;

/**
 * Holder of the active configuration of one instance. The feed and the membership share it, so that
 * each sees the changes that the other applies.
 */
public final class ConfigurationState {
    private static final int MAX_PENDING_CHANGES = 1_024;

    private Configuration mConfiguration = Configuration.empty();
    private final List<VersionedObject> mPendingChanges = new ArrayList<>();

    /**
     * Merges objects; for each object the higher ticket number wins. Returns true if the
     * configuration changed.
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

    /** Returns the active configuration, as an immutable view. */
    public Configuration configuration() {
        return mConfiguration;
    }

    /**
     * Returns the objects changed since the last call, oldest change first, and clears them. Bulk
     * loads are omitted, because peers detect those by comparing configurations.
     */
    public List<VersionedObject> drainChanges() {
        List<VersionedObject> changes = List.copyOf(mPendingChanges);
        mPendingChanges.clear();
        return changes;
    }
}
