package org.wasabilug.model;

/**
 * A failure domain: a group of instances and endpoints that fail together or are taken out of
 * service together.
 *
 * @param name name of the failure domain
 * @param region name of the region that the failure domain belongs to
 * @param state whether the failure domain receives new work
 */
public record FailureDomain(FailureDomainName name, String region, DomainState state)
        implements ConfigurationObject {
    @Override
    public ObjectKey objectKey() {
        return new ObjectKey(ObjectKind.FAILURE_DOMAIN, name.value());
    }

    /** Returns a new builder with default values for the optional properties. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns a builder with the values of this object. */
    public Builder toBuilder() {
        Builder builder = new Builder();
        builder.mName = name;
        builder.mRegion = region;
        builder.mState = state;
        return builder;
    }

    /** Builder of {@link FailureDomain} objects. */
    public static final class Builder {
        private FailureDomainName mName;
        private String mRegion = "default";
        private DomainState mState = DomainState.IN_SERVICE;

        private Builder() {}

        /** Sets the name of the failure domain. */
        public Builder name(FailureDomainName value) {
            mName = value;
            return this;
        }

        /** Sets the name of the region that the failure domain belongs to. */
        public Builder region(String value) {
            mRegion = value;
            return this;
        }

        /** Sets whether the failure domain may receive new work. */
        public Builder state(DomainState value) {
            mState = value;
            return this;
        }

        /** Returns an immutable object with the values set so far, which are not validated. */
        public FailureDomain build() {
            return new FailureDomain(mName, mRegion, mState);
        }
    }
}
