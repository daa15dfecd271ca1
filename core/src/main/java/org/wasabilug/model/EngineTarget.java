package org.wasabilug.model;

import java.util.Set;

/**
 * Whole desired state of one model engine.
 *
 * @param endpoint endpoint of the engine
 * @param model model to serve
 * @param version version of the model
 * @param adapters adapters to hold
 * @param role role of the engine, such as generate, prefill or decode
 */
public record EngineTarget(
        EndpointName endpoint, String model, String version, Set<String> adapters, String role)
        implements ConfigurationObject {
    /** Copies the set. */
    public EngineTarget {
        adapters = Set.copyOf(adapters);
    }

    @Override
    public ObjectKey objectKey() {
        return new ObjectKey(ObjectKind.ENGINE_TARGET, endpoint.value());
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
        builder.mEndpoint = endpoint;
        builder.mModel = model;
        builder.mVersion = version;
        builder.mAdapters = adapters;
        builder.mRole = role;
        return builder;
    }

    /** Builds a {@link EngineTarget}. */
    public static final class Builder {
        private EndpointName mEndpoint;
        private String mModel;
        private String mVersion;
        private Set<String> mAdapters = Set.of();
        private String mRole = "generate";

        private Builder() {}

        /**
         * Sets the value of {@link EngineTarget#endpoint()}.
         *
         * @param value endpoint of the engine
         * @return this builder
         */
        public Builder endpoint(EndpointName value) {
            mEndpoint = value;
            return this;
        }

        /**
         * Sets the value of {@link EngineTarget#model()}.
         *
         * @param value model to serve
         * @return this builder
         */
        public Builder model(String value) {
            mModel = value;
            return this;
        }

        /**
         * Sets the value of {@link EngineTarget#version()}.
         *
         * @param value version of the model
         * @return this builder
         */
        public Builder version(String value) {
            mVersion = value;
            return this;
        }

        /**
         * Sets the value of {@link EngineTarget#adapters()}.
         *
         * @param value adapters to hold
         * @return this builder
         */
        public Builder adapters(Set<String> value) {
            mAdapters = value;
            return this;
        }

        /**
         * Sets the value of {@link EngineTarget#role()}.
         *
         * @param value role of the engine, such as generate, prefill or decode
         * @return this builder
         */
        public Builder role(String value) {
            mRole = value;
            return this;
        }

        /**
         * Builds the object.
         *
         * @return the immutable object
         */
        public EngineTarget build() {
            return new EngineTarget(mEndpoint, mModel, mVersion, mAdapters, mRole);
        }
    }
}
