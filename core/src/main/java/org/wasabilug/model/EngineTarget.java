package org.wasabilug.model;

import java.util.Set;

/**
 * Complete desired state of a model engine.
 *
 * @param endpoint endpoint of the engine
 * @param model model to serve
 * @param version version of the model
 * @param adapters adapters to keep loaded
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

    /** Returns a new builder with default values for the optional properties. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns a builder with the values of this object. */
    public Builder toBuilder() {
        Builder builder = new Builder();
        builder.mEndpoint = endpoint;
        builder.mModel = model;
        builder.mVersion = version;
        builder.mAdapters = adapters;
        builder.mRole = role;
        return builder;
    }

    /** Builder of {@link EngineTarget} objects. */
    public static final class Builder {
        private EndpointName mEndpoint;
        private String mModel;
        private String mVersion;
        private Set<String> mAdapters = Set.of();
        private String mRole = "generate";

        private Builder() {}

        /** Sets the endpoint of the engine. */
        public Builder endpoint(EndpointName value) {
            mEndpoint = value;
            return this;
        }

        /** Sets the model to serve. */
        public Builder model(String value) {
            mModel = value;
            return this;
        }

        /** Sets the version of the model. */
        public Builder version(String value) {
            mVersion = value;
            return this;
        }

        /** Sets the adapters to keep loaded. */
        public Builder adapters(Set<String> value) {
            mAdapters = value;
            return this;
        }

        /** Sets the role of the engine, such as generate, prefill or decode. */
        public Builder role(String value) {
            mRole = value;
            return this;
        }

        /** Returns an immutable object with the values set so far, which are not validated. */
        public EngineTarget build() {
            return new EngineTarget(mEndpoint, mModel, mVersion, mAdapters, mRole);
        }
    }
}
