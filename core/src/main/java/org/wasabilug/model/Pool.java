package org.wasabilug.model;

/**
 * A pool of endpoints that serve the same calls.
 *
 * @param name name of the pool
 * @param requestPath path of the HTTP request for a call, such as /v1/completions
 * @param protocol format of the answers
 * @param repeatable false if a call may run at most once for each request
 * @param exposed true if callers may call the pool directly, as a plain service
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

    /** Returns a new builder with default values for the optional properties. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns a builder with the values of this object. */
    public Builder toBuilder() {
        Builder builder = new Builder();
        builder.mName = name;
        builder.mRequestPath = requestPath;
        builder.mProtocol = protocol;
        builder.mRepeatable = repeatable;
        builder.mExposed = exposed;
        return builder;
    }

    /** Builder of {@link Pool} objects. */
    public static final class Builder {
        private PoolName mName;
        private String mRequestPath = "/v1/completions";
        private CallProtocol mProtocol = CallProtocol.STREAMED;
        private boolean mRepeatable = true;
        private boolean mExposed = false;

        private Builder() {}

        /** Sets the name of the pool. */
        public Builder name(PoolName value) {
            mName = value;
            return this;
        }

        /** Sets the path of the HTTP request for a call, such as /v1/completions. */
        public Builder requestPath(String value) {
            mRequestPath = value;
            return this;
        }

        /** Sets the format of the answers. */
        public Builder protocol(CallProtocol value) {
            mProtocol = value;
            return this;
        }

        /** Sets whether a call may run more than once for the same request. */
        public Builder repeatable(boolean value) {
            mRepeatable = value;
            return this;
        }

        /** Sets whether callers may call the pool directly, as a plain service. */
        public Builder exposed(boolean value) {
            mExposed = value;
            return this;
        }

        /** Returns an immutable object with the values set so far, which are not validated. */
        public Pool build() {
            return new Pool(mName, mRequestPath, mProtocol, mRepeatable, mExposed);
        }
    }
}
