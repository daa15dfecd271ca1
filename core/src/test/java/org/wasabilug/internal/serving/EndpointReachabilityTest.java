package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.wasabilug.serving.EndpointRegistration;
import org.wasabilug.serving.StoreRevision;

class EndpointReachabilityTest {
    private static final int MANY = 11;
    private static final EndpointGroup GROUP = new EndpointGroup("service", "brest");

    private final EndpointReachability mReachability = new EndpointReachability();

    @Test
    void aGroupIsUnreachableOnceConnectionsToFourOfItsEndpointsFailed() {
        assertThat(refused("a", MANY)).isFalse();
        assertThat(refused("b", MANY)).isFalse();
        assertThat(refused("c", MANY)).isFalse();
        assertThat(mReachability.isUnreachable(GROUP)).isFalse();
        assertThat(refused("d", MANY)).isTrue();
        assertThat(mReachability.unreachable()).containsExactly(GROUP);
    }

    @Test
    void oneEndpointThatFailsAgainAndAgainDoesNotMakeItsGroupUnreachable() {
        for (int attempt = 0; attempt < 10; attempt++) {
            assertThat(refused("a", MANY)).isFalse();
        }
        assertThat(mReachability.isUnreachable(GROUP)).isFalse();
    }

    @Test
    void aConnectionThatOpensClearsAllFailuresOfItsGroup() {
        refused("a", MANY);
        refused("b", MANY);
        refused("c", MANY);

        assertThat(mReachability.recordConnected(GROUP)).isFalse();
        assertThat(refused("d", MANY)).isFalse();
    }

    @Test
    void anUnreachableGroupIsReachableAgainOnceOneConnectionOpens() {
        refused("a", 1);

        assertThat(mReachability.isUnreachable(GROUP)).isTrue();
        assertThat(mReachability.recordConnected(GROUP)).isTrue();
        assertThat(mReachability.isUnreachable(GROUP)).isFalse();
    }

    @Test
    void allEndpointsOfASmallGroupAreEnough() {
        assertThat(refused("a", 2)).isFalse();
        assertThat(refused("b", 2)).isTrue();
    }

    @Test
    void servicesInOneDomainAreJudgedApart() {
        refused("a", 1);

        assertThat(mReachability.isUnreachable(new EndpointGroup("other", "brest"))).isFalse();
    }

    @Test
    void oneFailureIsEnoughAfterAllInstancesOfTheDomainWereLost() {
        mReachability.recordPeersLost("brest");

        assertThat(mReachability.isUnreachable(GROUP)).isFalse();
        assertThat(refused("a", MANY)).isTrue();
    }

    @Test
    void onlyAnUnreachableGroupWhoseAddressesDoNotReplyIsSilent() {
        refused("a", 1);
        assertThat(mReachability.isSilent(GROUP)).isFalse();

        mReachability.recordConnected(GROUP);
        mReachability.recordFailure(endpoint("a"), ConnectionResult.SILENT, 1);
        assertThat(mReachability.isSilent(GROUP)).isTrue();
    }

    private boolean refused(String name, int endpointsInGroup) {
        return mReachability.recordFailure(
                endpoint(name), ConnectionResult.REFUSED, endpointsInGroup);
    }

    private static EndpointRegistration endpoint(String name) {
        return new EndpointRegistration(
                name,
                "service",
                "10.0.0.2",
                80,
                "brest",
                1,
                false,
                0,
                0,
                "v1",
                new StoreRevision(0, 2));
    }
}
