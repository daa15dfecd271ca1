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
     * @param value session lease of this process
     * @return this builder
     */
    public ColdStartGrantsBuilder lease(HeldLease value) {
        mLease = value;
        return this;
    }

    /**
     * Sets the random source for jitter and the choice of slots.
     *
     * @param value a seeded random source
     * @return this builder
     */
    public ColdStartGrantsBuilder random(UniformRandomProvider value) {
        mRandom = value;
        return this;
    }

    /**
     * Sets the function that counts the calls of this process in flight at an endpoint.
     *
     * @param value the function; it includes cancelled calls that the endpoint may still be running
     * @return this builder
     */
    public ColdStartGrantsBuilder callsInFlight(ToIntFunction<EndpointName> value) {
        mCallsInFlight = value;
        return this;
    }

    /**
     * Sets the function that counts the cancelled calls that an endpoint may still be running.
     *
     * @param value the function; by default it returns 0
     * @return this builder
     */
    public ColdStartGrantsBuilder cancelledCalls(ToIntFunction<EndpointName> value) {
        mCancelledCalls = value;
        return this;
    }

    /**
     * Sets the timing of slots.
     *
     * @param value the settings; the maximum call duration must be the same at every instance
     * @return this builder
     */
    public ColdStartGrantsBuilder settings(GrantSettings value) {
        mSettings = value;
        return this;
    }

    /**
     * Builds the grants.
     *
     * @return grants that hold no slot yet
     */
    public ColdStartGrants build() {
        return new ColdStartGrants(this);
    }
}
