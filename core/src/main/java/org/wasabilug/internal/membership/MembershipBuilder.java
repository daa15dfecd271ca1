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

    /** Sets the name of this instance. */
    public MembershipBuilder name(InstanceName value) {
        mName = value;
        return this;
    }

    /** Sets the failure domain of this instance. */
    public MembershipBuilder failureDomain(FailureDomainName value) {
        mFailureDomain = value;
        return this;
    }

    /**
     * Sets the incarnation number of this process, which increases with each restart of the
     * instance.
     */
    public MembershipBuilder incarnation(long value) {
        mIncarnation = value;
        return this;
    }

    /**
     * Sets the seed addresses, IP addresses with ports, which are contacted while the platform's
     * list is unavailable.
     */
    public MembershipBuilder seeds(List<String> value) {
        mSeeds = value;
        return this;
    }

    /** Sets the holder of the active configuration, which the feed shares. */
    public MembershipBuilder state(ConfigurationState value) {
        mState = value;
        return this;
    }

    /** Sets the source of the sequence number of the last applied feed entry. */
    public MembershipBuilder feedSequence(LongSupplier value) {
        mFeedSequence = value;
        return this;
    }

    /**
     * Sets the source of the configuration's age according to the feed: a function from monotonic
     * time to age, both in nanoseconds; -1 if the age is unknown.
     */
    public MembershipBuilder configurationAge(LongUnaryOperator value) {
        mConfigurationAge = value;
        return this;
    }

    /** Sets the seeded random source for jitter. */
    public MembershipBuilder random(UniformRandomProvider value) {
        mRandom = value;
        return this;
    }

    /** Builds a membership without known peers. */
    public Membership build() {
        return new Membership(this);
    }
}
