package org.wasabilug.model;

import java.net.URI;

/**
 * A back end that runs calls of one pool.
 *
 * @param name name of the endpoint
 * @param pool pool that it serves
 * @param failureDomain failure domain that holds it
 * @param address base address, http with IP number and port
 * @param coldLimit most calls in flight during cold start, from all instances together
 * @param concurrencyLimit most calls in flight when warm, from all instances together
 * @param fencing what it does with old fencing numbers
 * @param leaving true where it is about to be removed and gets no new work
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

    /**
     * Starts building.
     *
     * @return a builder without values
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Starts building from this state.
     *
     * @return a builder that holds every value of this object
     */
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

    /** Builds a {@link Endpoint}. */
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

        /**
         * Sets the value of {@link Endpoint#name()}.
         *
         * @param value name of the endpoint
         * @return this builder
         */
        public Builder name(EndpointName value) {
            mName = value;
            return this;
        }

        /**
         * Sets the value of {@link Endpoint#pool()}.
         *
         * @param value pool that it serves
         * @return this builder
         */
        public Builder pool(PoolName value) {
            mPool = value;
            return this;
        }

        /**
         * Sets the value of {@link Endpoint#failureDomain()}.
         *
         * @param value failure domain that holds it
         * @return this builder
         */
        public Builder failureDomain(FailureDomainName value) {
            mFailureDomain = value;
            return this;
        }

        /**
         * Sets the value of {@link Endpoint#address()}.
         *
         * @param value base address, http with IP number and port
         * @return this builder
         */
        public Builder address(URI value) {
            mAddress = value;
            return this;
        }

        /**
         * Sets the value of {@link Endpoint#coldLimit()}.
         *
         * @param value most calls in flight during cold start, from all instances together
         * @return this builder
         */
        public Builder coldLimit(int value) {
            mColdLimit = value;
            return this;
        }

        /**
         * Sets the value of {@link Endpoint#concurrencyLimit()}.
         *
         * @param value most calls in flight when warm, from all instances together
         * @return this builder
         */
        public Builder concurrencyLimit(int value) {
            mConcurrencyLimit = value;
            return this;
        }

        /**
         * Sets the value of {@link Endpoint#fencing()}.
         *
         * @param value what it does with old fencing numbers
         * @return this builder
         */
        public Builder fencing(FencingBehaviour value) {
            mFencing = value;
            return this;
        }

        /**
         * Sets the value of {@link Endpoint#leaving()}.
         *
         * @param value true where it is about to be removed and gets no new work
         * @return this builder
         */
        public Builder leaving(boolean value) {
            mLeaving = value;
            return this;
        }

        /**
         * Builds the object.
         *
         * @return the immutable object
         */
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
