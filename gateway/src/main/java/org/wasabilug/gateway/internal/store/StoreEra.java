package org.wasabilug.gateway.internal.store;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * The newest era of the store that this instance has heard of.
 *
 * <p>The era is the number of times that the store came back from an older copy. What it has
 * acknowledged before may then be gone, and versions are given out again.
 */
public final class StoreEra {
    private final List<Listener> mListeners = new ArrayList<>();
    private OptionalLong mNewest = OptionalLong.empty();

    /** Is told when the store came back from an older copy. */
    public interface Listener {
        /**
         * Called once for each newer era, before anything of it is applied.
         *
         * @param before the era before
         * @param era the new era
         */
        void raised(long before, long era);
    }

    /**
     * Adds a listener.
     *
     * @param listener the listener
     */
    public void addListener(Listener listener) {
        mListeners.add(listener);
    }

    /** Returns the newest era; 0 before any is known. */
    public long newest() {
        return mNewest.orElse(0);
    }

    /**
     * Records an era that the store or a peer has told.
     *
     * @param era the era; empty if none was told, which means the newest
     * @return false if the store has a newer one, so that what came with this one is outdated
     */
    public boolean observe(OptionalLong era) {
        if (era.isEmpty() || era.equals(mNewest)) {
            return true;
        }
        if (mNewest.isPresent() && era.getAsLong() < mNewest.getAsLong()) {
            return false;
        }
        OptionalLong before = mNewest;
        mNewest = era;
        if (before.isPresent()) {
            mListeners.forEach(each -> each.raised(before.getAsLong(), era.getAsLong()));
        }
        return true;
    }
}
