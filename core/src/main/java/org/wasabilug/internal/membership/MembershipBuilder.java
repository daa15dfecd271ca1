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
     * @param value the name
     * @return this builder
     */
    public MembershipBuilder name(InstanceName value) {
        mName = value;
        return this;
    }

    /**
     * Sets the failure domain that holds this instance.
     *
     * @param value its name
     * @return this builder
     */
    public MembershipBuilder failureDomain(FailureDomainName value) {
        mFailureDomain = value;
        return this;
    }

    /**
     * Sets the number of this process's life.
     *
     * @param value grows with each restart of the instance
     * @return this builder
     */
    public MembershipBuilder incarnation(long value) {
        mIncarnation = value;
        return this;
    }

    /**
     * Sets addresses that are tried while the platform's list is not there.
     *
     * @param value IP numbers with ports
     * @return this builder
     */
    public MembershipBuilder seeds(List<String> value) {
        mSeeds = value;
        return this;
    }

    /**
     * Sets the configuration in force at this instance.
     *
     * @param value shared with the feed
     * @return this builder
     */
    public MembershipBuilder state(ConfigurationState value) {
        mState = value;
        return this;
    }

    /**
     * Sets the source of the last applied feed entry.
     *
     * @param value returns the sequence
     * @return this builder
     */
    public MembershipBuilder feedSequence(LongSupplier value) {
        mFeedSequence = value;
        return this;
    }

    /**
     * Sets the source of the age of the feed's configuration.
     *
     * @param value turns monotonic time into the age, both in nanoseconds; -1 where it is not known
     * @return this builder
     */
    public MembershipBuilder configurationAge(LongUnaryOperator value) {
        mConfigurationAge = value;
        return this;
    }

    /**
     * Sets the source of jitter.
     *
     * @param value seeded source
     * @return this builder
     */
    public MembershipBuilder random(UniformRandomProvider value) {
        mRandom = value;
        return this;
    }

    /**
     * Builds the membership.
     *
     * @return a membership that knows no peer yet
     */
    public Membership build() {
        return new Membership(this);
    }
}
