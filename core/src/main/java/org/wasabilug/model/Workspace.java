package org.wasabilug.model;

import java.util.Set;

/**
 * A workspace, the tenant whose requests are counted, limited and isolated from those of other
 * workspaces.
 *
 * @param name name of the workspace
 * @param key salted hash of the key that its callers authenticate with
 * @param pipelines pipelines that the workspace may use
 * @param services plain services that the workspace may call
 * @param requestsPerSecond maximum rate of new requests, at all instances together
 * @param concurrentRequests maximum number of requests in flight, at all instances together
 * @param shareWeight weight of the workspace's share when capacity is scarce, at least 1
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

    /** Returns a new builder with default values for the optional properties. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns a builder with the values of this object. */
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

    /** Builder of {@link Workspace} objects. */
    public static final class Builder {
        private WorkspaceName mName;
        private SaltedHash mKey;
        private Set<PipelineName> mPipelines = Set.of();
        private Set<PoolName> mServices = Set.of();
        private double mRequestsPerSecond = 1000;
        private int mConcurrentRequests = 1000;
        private int mShareWeight = 1;

        private Builder() {}

        /** Sets the name of the workspace. */
        public Builder name(WorkspaceName value) {
            mName = value;
            return this;
        }

        /** Sets the salted hash of the key that callers of the workspace authenticate with. */
        public Builder key(SaltedHash value) {
            mKey = value;
            return this;
        }

        /** Sets the pipelines that the workspace may use. */
        public Builder pipelines(Set<PipelineName> value) {
            mPipelines = value;
            return this;
        }

        /** Sets the plain services that the workspace may call. */
        public Builder services(Set<PoolName> value) {
            mServices = value;
            return this;
        }

        /** Sets the maximum rate of new requests, at all instances together. */
        public Builder requestsPerSecond(double value) {
            mRequestsPerSecond = value;
            return this;
        }

        /** Sets the maximum number of requests in flight, at all instances together. */
        public Builder concurrentRequests(int value) {
            mConcurrentRequests = value;
            return this;
        }

        /** Sets the weight of the workspace's share when capacity is scarce, at least 1. */
        public Builder shareWeight(int value) {
            mShareWeight = value;
            return this;
        }

        /** Returns an immutable object with the values set so far, which are not validated. */
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
