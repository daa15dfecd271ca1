package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.wasabilug.serving.EndpointRegistration;

class DomainReachabilityTest {
    private static final int MANY = 11;

    private final DomainReachability mReachability = new DomainReachability();

    @Test
    void aDomainIsUnreachableOnceConnectionsToFourOfItsEndpointsFailed() {
        assertThat(refused("a", MANY)).isFalse();
        assertThat(refused("b", MANY)).isFalse();
        assertThat(refused("c", MANY)).isFalse();
        assertThat(mReachability.isUnreachable("brest")).isFalse();
        assertThat(refused("d", MANY)).isTrue();
        assertThat(mReachability.unreachableDomains()).containsExactly("brest");
    }

    @Test
    void oneEndpointThatFailsAgainAndAgainDoesNotMakeItsDomainUnreachable() {
        for (int attempt = 0; attempt < 10; attempt++) {
            assertThat(refused("a", MANY)).isFalse();
        }
        assertThat(mReachability.isUnreachable("brest")).isFalse();
    }

    @Test
    void aConnectionThatOpensClearsAllFailuresOfItsDomain() {
        refused("a", MANY);
        refused("b", MANY);
        refused("c", MANY);

        assertThat(mReachability.recordConnected("brest")).isFalse();
        assertThat(refused("d", MANY)).isFalse();
    }

    @Test
    void anUnreachableDomainIsReachableAgainOnceOneConnectionOpens() {
        refused("a", 1);

        assertThat(mReachability.isUnreachable("brest")).isTrue();
        assertThat(mReachability.recordConnected("brest")).isTrue();
        assertThat(mReachability.isUnreachable("brest")).isFalse();
    }

    @Test
    void allEndpointsOfASmallDomainAreEnough() {
        assertThat(refused("a", 2)).isFalse();
        assertThat(refused("b", 2)).isTrue();
    }

    @Test
    void oneFailureIsEnoughAfterAllInstancesOfTheDomainWereLost() {
        mReachability.recordPeersLost("brest");

        assertThat(mReachability.isUnreachable("brest")).isFalse();
        assertThat(refused("a", MANY)).isTrue();
    }

    @Test
    void onlyAnUnreachableDomainWhoseAddressesDoNotReplyIsSilent() {
        refused("a", 1);
        assertThat(mReachability.isSilent("brest")).isFalse();

        mReachability.recordConnected("brest");
        mReachability.recordFailure(endpoint("a"), ConnectionResult.SILENT, 1);
        assertThat(mReachability.isSilent("brest")).isTrue();
    }

    private boolean refused(String name, int endpointsInDomain) {
        return mReachability.recordFailure(
                endpoint(name), ConnectionResult.REFUSED, endpointsInDomain);
    }

    private static EndpointRegistration endpoint(String name) {
        return new EndpointRegistration(
                name, "service", "10.0.0.2", 80, "brest", 1, false, 0, 0, "v1", 2);
    }
}
