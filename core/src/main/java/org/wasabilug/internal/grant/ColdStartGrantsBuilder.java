package org.wasabilug.internal.grant;

import java.util.function.ToIntFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.lease.HeldLease;
import org.wasabilug.model.EndpointName;

/** Builds {@link ColdStartGrants}. */
public final class ColdStartGrantsBuilder {
    HeldLease mLease;
    UniformRandomProvider mRandom;
    ToIntFunction<EndpointName> mCallsInFlight;
    ToIntFunction<EndpointName> mCancelledCalls = endpoint -> 0;
    GrantSettings mSettings = GrantSettings.DEFAULT;

    ColdStartGrantsBuilder() {}

    /**
     * Sets the session lease under which slots are held.
     *
     * @param value the lease of this process
     * @return this builder
     */
    public ColdStartGrantsBuilder lease(HeldLease value) {
        mLease = value;
        return this;
    }

    /**
     * Sets the source of jitter.
     *
     * @param value a seeded source
     * @return this builder
     */
    public ColdStartGrantsBuilder random(UniformRandomProvider value) {
        mRandom = value;
        return this;
    }

    /**
     * Sets what counts the calls of this process in flight at an endpoint.
     *
     * @param value the count, cancelled calls included until their end is known
     * @return this builder
     */
    public ColdStartGrantsBuilder callsInFlight(ToIntFunction<EndpointName> value) {
        mCallsInFlight = value;
        return this;
    }

    /**
     * Sets what counts the cancelled calls that an endpoint may still be running.
     *
     * @param value the count; none without this setting
     * @return this builder
     */
    public ColdStartGrantsBuilder cancelledCalls(ToIntFunction<EndpointName> value) {
        mCancelledCalls = value;
        return this;
    }

    /**
     * Sets the times of slots.
     *
     * @param value the times; the longest call is the same at every instance
     * @return this builder
     */
    public ColdStartGrantsBuilder settings(GrantSettings value) {
        mSettings = value;
        return this;
    }

    /**
     * Builds the grants, of which none is held yet.
     *
     * @return the grants
     */
    public ColdStartGrants build() {
        return new ColdStartGrants(this);
    }
}
