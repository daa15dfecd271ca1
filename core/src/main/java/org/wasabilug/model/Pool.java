package org.wasabilug.model;

/**
 * A pool of endpoints that serve the same calls.
 *
 * @param name name of the pool
 * @param requestPath path of the HTTP request that runs a call, such as /v1/completions
 * @param protocol shape of the answers
 * @param repeatable false where a call may run at most once for each request
 * @param exposed true where callers may call the pool directly, as a plain service
 */
public record Pool(
        PoolName name,
        String requestPath,
        CallProtocol protocol,
        boolean repeatable,
        boolean exposed)
        implements ConfigurationObject {
    @Override
    public ObjectKey objectKey() {
        return new ObjectKey(ObjectKind.POOL, name.value());
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
        builder.mRequestPath = requestPath;
        builder.mProtocol = protocol;
        builder.mRepeatable = repeatable;
        builder.mExposed = exposed;
        return builder;
    }

    /** Builds a {@link Pool}. */
    public static final class Builder {
        private PoolName mName;
        private String mRequestPath = "/v1/completions";
        private CallProtocol mProtocol = CallProtocol.STREAMED;
        private boolean mRepeatable = true;
        private boolean mExposed = false;

        private Builder() {}

        /**
         * Sets the value of {@link Pool#name()}.
         *
         * @param value name of the pool
         * @return this builder
         */
        public Builder name(PoolName value) {
            mName = value;
            return this;
        }

        /**
         * Sets the value of {@link Pool#requestPath()}.
         *
         * @param value path of the HTTP request that runs a call, such as /v1/completions
         * @return this builder
         */
        public Builder requestPath(String value) {
            mRequestPath = value;
            return this;
        }

        /**
         * Sets the value of {@link Pool#protocol()}.
         *
         * @param value shape of the answers
         * @return this builder
         */
        public Builder protocol(CallProtocol value) {
            mProtocol = value;
            return this;
        }

        /**
         * Sets the value of {@link Pool#repeatable()}.
         *
         * @param value false where a call may run at most once for each request
         * @return this builder
         */
        public Builder repeatable(boolean value) {
            mRepeatable = value;
            return this;
        }

        /**
         * Sets the value of {@link Pool#exposed()}.
         *
         * @param value true where callers may call the pool directly, as a plain service
         * @return this builder
         */
        public Builder exposed(boolean value) {
            mExposed = value;
            return this;
        }

        /**
         * Builds the object.
         *
         * @return the immutable object
         */
        public Pool build() {
            return new Pool(mName, mRequestPath, mProtocol, mRepeatable, mExposed);
        }
    }
}
