package org.wasabilug.gateway.internal.peer;

import java.util.LinkedHashSet;
import java.util.Set;

/** Ids of the broadcasts that were received lately, so that each is passed on only once. */
final class BroadcastHistory {
    private static final int MAX_IDS = 4_096;

    private final Set<Long> mIds = new LinkedHashSet<>();

    /** Records a broadcast; returns false if it was known already. */
    boolean add(long id) {
        if (mIds.size() >= MAX_IDS) {
            mIds.remove(mIds.iterator().next());
        }
        return mIds.add(id);
    }
}
