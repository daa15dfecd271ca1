package org.wasabilug.internal.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.configuration.ConfigurationState;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.PeerMessage;

class ConfigurationAgeTest {
    private static final FailureDomainName DOMAIN = new FailureDomainName("rennes");

    private final ConfigurationState mState = new ConfigurationState();
    private final Membership mMembership =
            Membership.builder()
                    .name(new InstanceName("entry-1"))
                    .failureDomain(DOMAIN)
                    .state(mState)
                    .random(RandomSource.SPLIT_MIX_64.create(1))
                    .build();

    @Test
    void addsTheTimeSinceAPeerReportedItsAge() {
        receive(mState.configuration().hash(), 5_000, atSecond(10));

        assertThat(mMembership.configurationAgeMilliseconds(atSecond(12))).isEqualTo(7_000);
    }

    @Test
    void keepsTheLowestAgeThatPeersReported() {
        receive(mState.configuration().hash(), 5_000, atSecond(10));
        receive(mState.configuration().hash(), 60_000, atSecond(11));

        assertThat(mMembership.configurationAgeMilliseconds(atSecond(12))).isEqualTo(7_000);
    }

    @Test
    void ignoresAPeerWithDifferentConfiguration() {
        receive(mState.configuration().hash() + 1, 5_000, atSecond(10));

        assertThat(mMembership.configurationAgeMilliseconds(atSecond(12))).isEqualTo(-1);
    }

    @Test
    void ignoresAPeerWithUnknownAge() {
        receive(mState.configuration().hash(), -1, atSecond(10));

        assertThat(mMembership.configurationAgeMilliseconds(atSecond(12))).isEqualTo(-1);
    }

    private void receive(long hash, long ageMilliseconds, long nowNanos) {
        mMembership.handle(
                new InstanceEvent.PeerMessageReceived(
                        new InstanceName("entry-2"),
                        new PeerMessage.Heartbeat(1, DOMAIN, 0, hash, false, ageMilliseconds)),
                nowNanos);
    }

    private static long atSecond(long second) {
        return TimeUnit.SECONDS.toNanos(second);
    }
}
