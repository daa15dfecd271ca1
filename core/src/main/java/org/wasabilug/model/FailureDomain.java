package org.wasabilug.model;

/**
 * A failure domain: instances and endpoints that fail or are taken out together.
 *
 * @param name name of the failure domain
 * @param region name of the region that holds it
 * @param state whether it may take new work
 */
public record FailureDomain(FailureDomainName name, String region, DomainState state)
        implements ConfigurationObject {
    @Override
    public ObjectKey objectKey() {
        return new ObjectKey(ObjectKind.FAILURE_DOMAIN, name.value());
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
        builder.mRegion = region;
        builder.mState = state;
        return builder;
    }

    /** Builds a {@link FailureDomain}. */
    public static final class Builder {
        private FailureDomainName mName;
        private String mRegion = "default";
        private DomainState mState = DomainState.IN_SERVICE;

        private Builder() {}

        /**
         * Sets the value of {@link FailureDomain#name()}.
         *
         * @param value name of the failure domain
         * @return this builder
         */
        public Builder name(FailureDomainName value) {
            mName = value;
            return this;
        }

        /**
         * Sets the value of {@link FailureDomain#region()}.
         *
         * @param value name of the region that holds it
         * @return this builder
         */
        public Builder region(String value) {
            mRegion = value;
            return this;
        }

        /**
         * Sets the value of {@link FailureDomain#state()}.
         *
         * @param value whether it may take new work
         * @return this builder
         */
        public Builder state(DomainState value) {
            mState = value;
            return this;
        }

        /**
         * Builds the object.
         *
         * @return the immutable object
         */
        public FailureDomain build() {
            return new FailureDomain(mName, mRegion, mState);
        }
    }
}
