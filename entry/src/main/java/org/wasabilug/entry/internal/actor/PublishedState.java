package org.wasabilug.entry.internal.actor;

import org.wasabilug.internal.configuration.Configuration;

/** State that the instance actor shares with other threads. */
public final class PublishedState {
    private volatile Configuration mConfiguration = Configuration.empty();
    private volatile boolean mStopping;

    /**
     * Returns the active configuration.
     *
     * @return immutable configuration
     */
    public Configuration configuration() {
        return mConfiguration;
    }

    /**
     * Returns whether a planned stop has begun.
     *
     * @return true from the beginning of the stop
     */
    public boolean isStopping() {
        return mStopping;
    }

    /** Marks the instance as not ready. This can't be undone. */
    public void beginStop() {
        mStopping = true;
    }

    void publish(Configuration configuration) {
        if (mConfiguration != configuration) {
            mConfiguration = configuration;
        }
    }
}
