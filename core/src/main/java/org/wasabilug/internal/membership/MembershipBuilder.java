package org.wasabilug.internal.membership;

import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.LongUnaryOperator;
import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.configuration.ConfigurationState;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;

/** Builds a {@link Membership}. */
public final class MembershipBuilder {
    InstanceName mName;
    FailureDomainName mFailureDomain;
    long mIncarnation = 1;
    List<String> mSeeds = List.of();
    ConfigurationState mState;
    LongSupplier mFeedSequence = () -> 0;
    LongUnaryOperator mConfigurationAge = nowNanos -> -1;
    UniformRandomProvider mRandom;

    MembershipBuilder() {}

    /**
     * Sets the name of this instance.
     *
     * @param value name of the instance
     * @return this builder
     */
    public MembershipBuilder name(InstanceName value) {
        mName = value;
        return this;
    }

    /**
     * Sets the failure domain that holds this instance.
     *
     * @param value name of the failure domain
     * @return this builder
     */
    public MembershipBuilder failureDomain(FailureDomainName value) {
        mFailureDomain = value;
        return this;
    }

    /**
     * Sets the incarnation number of this process.
     *
     * @param value number that increases with each restart of the instance
     * @return this builder
     */
    public MembershipBuilder incarnation(long value) {
        mIncarnation = value;
        return this;
    }

    /**
     * Sets the seed addresses, which are contacted while the platform's list is unavailable.
     *
     * @param value IP addresses with ports
     * @return this builder
     */
    public MembershipBuilder seeds(List<String> value) {
        mSeeds = value;
        return this;
    }

    /**
     * Sets the holder of the active configuration of this instance.
     *
     * @param value the holder, which the feed shares
     * @return this builder
     */
    public MembershipBuilder state(ConfigurationState value) {
        mState = value;
        return this;
    }

    /**
     * Sets the source of the sequence number of the last applied feed entry.
     *
     * @param value returns the sequence number
     * @return this builder
     */
    public MembershipBuilder feedSequence(LongSupplier value) {
        mFeedSequence = value;
        return this;
    }

    /**
     * Sets the source of the configuration's age according to the feed.
     *
     * @param value returns the age at a monotonic time, both in nanoseconds; -1 if it is unknown
     * @return this builder
     */
    public MembershipBuilder configurationAge(LongUnaryOperator value) {
        mConfigurationAge = value;
        return this;
    }

    /**
     * Sets the source of jitter.
     *
     * @param value a seeded random source
     * @return this builder
     */
    public MembershipBuilder random(UniformRandomProvider value) {
        mRandom = value;
        return this;
    }

    /**
     * Builds the membership.
     *
     * @return a membership without known peers
     */
    public Membership build() {
        return new Membership(this);
    }
}
