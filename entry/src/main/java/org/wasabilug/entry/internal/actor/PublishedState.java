package org.wasabilug.entry.internal.actor;

import org.wasabilug.internal.configuration.Configuration;

/** What the instance's actor publishes to other threads. */
public final class PublishedState {
    private volatile Configuration mConfiguration = Configuration.empty();
    private volatile boolean mStopping;

    /**
     * The configuration in force.
     *
     * @return an immutable view
     */
    public Configuration configuration() {
        return mConfiguration;
    }

    /**
     * Tells whether a planned stop has begun.
     *
     * @return true from its beginning on
     */
    public boolean isStopping() {
        return mStopping;
    }

    /** Marks the instance as not ready, for good. */
    public void beginStop() {
        mStopping = true;
    }

    void publish(Configuration configuration) {
        if (mConfiguration != configuration) {
            mConfiguration = configuration;
        }
    }
}
