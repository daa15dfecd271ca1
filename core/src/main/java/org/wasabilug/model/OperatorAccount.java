package org.wasabilug.model;

/**
 * Account of an operator who may submit tickets.
 *
 * @param name name of the operator
 * @param key salted hash of the operator key
 */
public record OperatorAccount(OperatorName name, SaltedHash key) implements ConfigurationObject {
    @Override
    public ObjectKey objectKey() {
        return new ObjectKey(ObjectKind.OPERATOR, name.value());
    }

    /** Returns a new builder without values. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns a builder with the values of this object. */
    public Builder toBuilder() {
        Builder builder = new Builder();
        builder.mName = name;
        builder.mKey = key;
        return builder;
    }

    /** Builder of {@link OperatorAccount} objects. */
    public static final class Builder {
        private OperatorName mName;
        private SaltedHash mKey;

        private Builder() {}

        /** Sets the name of the operator. */
        public Builder name(OperatorName value) {
            mName = value;
            return this;
        }

        /** Sets the salted hash of the operator key. */
        public Builder key(SaltedHash value) {
            mKey = value;
            return this;
        }

        /** Returns an immutable object with the values set so far, which are not validated. */
        public OperatorAccount build() {
            return new OperatorAccount(mName, mKey);
        }
    }
}
