package org.wasabilug.internal.lease;

import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.model.InstanceName;

/** Builds a {@link SessionLease}. */
public final class SessionLeaseBuilder {
    InstanceName mInstance;
    String mIncarnation;
    UniformRandomProvider mRandom;
    LeaseSettings mSettings = LeaseSettings.DEFAULT;

    SessionLeaseBuilder() {}

    /**
     * Sets the instance in whose name the lease is held.
     *
     * @param value name of the instance
     * @return this builder
     */
    public SessionLeaseBuilder instance(InstanceName value) {
        mInstance = value;
        return this;
    }

    /**
     * Sets the incarnation, which identifies this process.
     *
     * @param value unique text; an earlier process of the same instance must not have used it
     * @return this builder
     */
    public SessionLeaseBuilder incarnation(String value) {
        mIncarnation = value;
        return this;
    }

    /**
     * Sets the source of jitter.
     *
     * @param value a seeded random source
     * @return this builder
     */
    public SessionLeaseBuilder random(UniformRandomProvider value) {
        mRandom = value;
        return this;
    }

    /**
     * Sets the lease times.
     *
     * @param value the settings; must be the same at every instance
     * @return this builder
     */
    public SessionLeaseBuilder settings(LeaseSettings value) {
        mSettings = value;
        return this;
    }

    /**
     * Builds the lease, which is not held initially.
     *
     * @return the lease
     */
    public SessionLease build() {
        return new SessionLease(this);
    }
}
