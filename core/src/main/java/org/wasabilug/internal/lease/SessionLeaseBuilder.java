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
     * Sets the instance whose row is held.
     *
     * @param value name of the instance
     * @return this builder
     */
    public SessionLeaseBuilder instance(InstanceName value) {
        mInstance = value;
        return this;
    }

    /**
     * Sets the identity of this process.
     *
     * @param value text that no other process ever has, also not an earlier one of the same name
     * @return this builder
     */
    public SessionLeaseBuilder incarnation(String value) {
        mIncarnation = value;
        return this;
    }

    /**
     * Sets the source of jitter.
     *
     * @param value a seeded source
     * @return this builder
     */
    public SessionLeaseBuilder random(UniformRandomProvider value) {
        mRandom = value;
        return this;
    }

    /**
     * Sets the times.
     *
     * @param value the times; the same at every instance
     * @return this builder
     */
    public SessionLeaseBuilder settings(LeaseSettings value) {
        mSettings = value;
        return this;
    }

    /**
     * Builds the lease, which is not held yet.
     *
     * @return the lease
     */
    public SessionLease build() {
        return new SessionLease(this);
    }
}
