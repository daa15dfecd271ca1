package org.wasabilug.model;

import java.util.Set;

/**
 * A workspace: whose requests are counted, limited and kept apart from all others.
 *
 * @param name name of the workspace
 * @param key salted hash of the key that its callers show
 * @param pipelines pipelines that it may use
 * @param services plain services that it may call
 * @param requestsPerSecond most requests started a second at all instances together
 * @param concurrentRequests most requests in flight at all instances together
 * @param shareWeight weight of its share where capacity is short, 1 or more
 */
public record Workspace(
        WorkspaceName name,
        SaltedHash key,
        Set<PipelineName> pipelines,
        Set<PoolName> services,
        double requestsPerSecond,
        int concurrentRequests,
        int shareWeight)
        implements ConfigurationObject {
    /** Copies the sets. */
    public Workspace {
        pipelines = Set.copyOf(pipelines);
        services = Set.copyOf(services);
    }

    @Override
    public ObjectKey objectKey() {
        return new ObjectKey(ObjectKind.WORKSPACE, name.value());
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
        builder.mKey = key;
        builder.mPipelines = pipelines;
        builder.mServices = services;
        builder.mRequestsPerSecond = requestsPerSecond;
        builder.mConcurrentRequests = concurrentRequests;
        builder.mShareWeight = shareWeight;
        return builder;
    }

    /** Builds a {@link Workspace}. */
    public static final class Builder {
        private WorkspaceName mName;
        private SaltedHash mKey;
        private Set<PipelineName> mPipelines = Set.of();
        private Set<PoolName> mServices = Set.of();
        private double mRequestsPerSecond = 1000;
        private int mConcurrentRequests = 1000;
        private int mShareWeight = 1;

        private Builder() {}

        /**
         * Sets the value of {@link Workspace#name()}.
         *
         * @param value name of the workspace
         * @return this builder
         */
        public Builder name(WorkspaceName value) {
            mName = value;
            return this;
        }

        /**
         * Sets the value of {@link Workspace#key()}.
         *
         * @param value salted hash of the key that its callers show
         * @return this builder
         */
        public Builder key(SaltedHash value) {
            mKey = value;
            return this;
        }

        /**
         * Sets the value of {@link Workspace#pipelines()}.
         *
         * @param value pipelines that it may use
         * @return this builder
         */
        public Builder pipelines(Set<PipelineName> value) {
            mPipelines = value;
            return this;
        }

        /**
         * Sets the value of {@link Workspace#services()}.
         *
         * @param value plain services that it may call
         * @return this builder
         */
        public Builder services(Set<PoolName> value) {
            mServices = value;
            return this;
        }

        /**
         * Sets the value of {@link Workspace#requestsPerSecond()}.
         *
         * @param value most requests started a second at all instances together
         * @return this builder
         */
        public Builder requestsPerSecond(double value) {
            mRequestsPerSecond = value;
            return this;
        }

        /**
         * Sets the value of {@link Workspace#concurrentRequests()}.
         *
         * @param value most requests in flight at all instances together
         * @return this builder
         */
        public Builder concurrentRequests(int value) {
            mConcurrentRequests = value;
            return this;
        }

        /**
         * Sets the value of {@link Workspace#shareWeight()}.
         *
         * @param value weight of its share where capacity is short, 1 or more
         * @return this builder
         */
        public Builder shareWeight(int value) {
            mShareWeight = value;
            return this;
        }

        /**
         * Builds the object.
         *
         * @return the immutable object
         */
        public Workspace build() {
            return new Workspace(
                    mName,
                    mKey,
                    mPipelines,
                    mServices,
                    mRequestsPerSecond,
                    mConcurrentRequests,
                    mShareWeight);
        }
    }
}
