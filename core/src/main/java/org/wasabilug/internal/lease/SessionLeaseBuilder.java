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

    /** Sets the instance in whose name the lease is held. */
    public SessionLeaseBuilder instance(InstanceName value) {
        mInstance = value;
        return this;
    }

    /**
     * Sets the identity of this process. It must be unique, also among earlier processes of the
     * same instance.
     */
    public SessionLeaseBuilder incarnation(String value) {
        mIncarnation = value;
        return this;
    }

    /** Sets the seeded random source for jitter. */
    public SessionLeaseBuilder random(UniformRandomProvider value) {
        mRandom = value;
        return this;
    }

    /** Sets the lease times, which must be the same at every instance; optional. */
    public SessionLeaseBuilder settings(LeaseSettings value) {
        mSettings = value;
        return this;
    }

    /** Builds the lease, which is not held initially. */
    public SessionLease build() {
        return new SessionLease(this);
    }
}
