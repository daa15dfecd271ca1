package org.wasabilug.model;

import java.net.URI;

/**
 * A back end that executes the calls of one pool.
 *
 * @param name name of the endpoint
 * @param pool pool that the endpoint serves
 * @param failureDomain failure domain that the endpoint belongs to
 * @param address base address, an http URI with an IP address and a port
 * @param coldLimit maximum number of calls in flight during cold start, from all instances together
 * @param concurrencyLimit maximum number of calls in flight when warm, from all instances together
 * @param fencing how the endpoint handles orders with stale fencing numbers
 * @param leaving true if the endpoint is about to be removed and receives no new work
 */
public record Endpoint(
        EndpointName name,
        PoolName pool,
        FailureDomainName failureDomain,
        URI address,
        int coldLimit,
        int concurrencyLimit,
        FencingBehaviour fencing,
        boolean leaving)
        implements ConfigurationObject {
    @Override
    public ObjectKey objectKey() {
        return new ObjectKey(ObjectKind.ENDPOINT, name.value());
    }

    /** Returns a new builder with default values for the optional properties. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns a builder with the values of this object. */
    public Builder toBuilder() {
        Builder builder = new Builder();
        builder.mName = name;
        builder.mPool = pool;
        builder.mFailureDomain = failureDomain;
        builder.mAddress = address;
        builder.mColdLimit = coldLimit;
        builder.mConcurrencyLimit = concurrencyLimit;
        builder.mFencing = fencing;
        builder.mLeaving = leaving;
        return builder;
    }

    /** Builder of {@link Endpoint} objects. */
    public static final class Builder {
        private EndpointName mName;
        private PoolName mPool;
        private FailureDomainName mFailureDomain;
        private URI mAddress;
        private int mColdLimit = 1;
        private int mConcurrencyLimit = 16;
        private FencingBehaviour mFencing = FencingBehaviour.CHECKS;
        private boolean mLeaving = false;

        private Builder() {}

        /** Sets the name of the endpoint. */
        public Builder name(EndpointName value) {
            mName = value;
            return this;
        }

        /** Sets the pool that the endpoint serves. */
        public Builder pool(PoolName value) {
            mPool = value;
            return this;
        }

        /** Sets the failure domain that the endpoint belongs to. */
        public Builder failureDomain(FailureDomainName value) {
            mFailureDomain = value;
            return this;
        }

        /** Sets the base address, an http URI with an IP address and a port. */
        public Builder address(URI value) {
            mAddress = value;
            return this;
        }

        /**
         * Sets the maximum number of calls in flight during cold start, from all instances
         * together.
         */
        public Builder coldLimit(int value) {
            mColdLimit = value;
            return this;
        }

        /** Sets the maximum number of calls in flight when warm, from all instances together. */
        public Builder concurrencyLimit(int value) {
            mConcurrencyLimit = value;
            return this;
        }

        /** Sets how the endpoint handles orders with stale fencing numbers. */
        public Builder fencing(FencingBehaviour value) {
            mFencing = value;
            return this;
        }

        /** Sets whether the endpoint is about to be removed and receives no new work. */
        public Builder leaving(boolean value) {
            mLeaving = value;
            return this;
        }

        /** Returns an immutable object with the values set so far, which are not validated. */
        public Endpoint build() {
            return new Endpoint(
                    mName,
                    mPool,
                    mFailureDomain,
                    mAddress,
                    mColdLimit,
                    mConcurrencyLimit,
                    mFencing,
                    mLeaving);
        }
    }
}
