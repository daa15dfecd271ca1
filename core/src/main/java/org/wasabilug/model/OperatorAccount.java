package org.wasabilug.model;

/**
 * An operator who may submit tickets.
 *
 * @param name name of the operator
 * @param key salted hash of the operator key
 */
public record OperatorAccount(OperatorName name, SaltedHash key) implements ConfigurationObject {
    @Override
    public ObjectKey objectKey() {
        return new ObjectKey(ObjectKind.OPERATOR, name.value());
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
        return builder;
    }

    /** Builds a {@link OperatorAccount}. */
    public static final class Builder {
        private OperatorName mName;
        private SaltedHash mKey;

        private Builder() {}

        /**
         * Sets the value of {@link OperatorAccount#name()}.
         *
         * @param value name of the operator
         * @return this builder
         */
        public Builder name(OperatorName value) {
            mName = value;
            return this;
        }

        /**
         * Sets the value of {@link OperatorAccount#key()}.
         *
         * @param value salted hash of the operator key
         * @return this builder
         */
        public Builder key(SaltedHash value) {
            mKey = value;
            return this;
        }

        /**
         * Builds the object.
         *
         * @return the immutable object
         */
        public OperatorAccount build() {
            return new OperatorAccount(mName, mKey);
        }
    }
}
