package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.wasabilug.serving.EndpointRegistration;
import org.wasabilug.serving.StoreRevision;

class EndpointDirectoryTest {
    private final EndpointDirectory mDirectory = new EndpointDirectory();

    private static EndpointRegistration registered(
            String name, boolean leaving, long startedAt, long version) {
        return new EndpointRegistration(
                name,
                "service",
                "10.0.0.1",
                80,
                "rennes",
                1,
                leaving,
                0,
                startedAt,
                "v1",
                new StoreRevision(0, version));
    }

    @Test
    void aLeavingEndpointIsNotUsable() {
        mDirectory.register(registered("a", false, 0, 1), 0);
        assertThat(mDirectory.usable("service")).hasSize(1);

        assertThat(mDirectory.register(registered("a", true, 0, 2), 0))
                .isEqualTo(EndpointDirectory.Change.LEAVING);
        assertThat(mDirectory.usable("service")).isEmpty();
    }

    @Test
    void ignoresAnOlderRegistration() {
        mDirectory.register(registered("a", true, 0, 5), 0);
        mDirectory.register(registered("a", false, 0, 4), 0);

        assertThat(mDirectory.usable("service")).isEmpty();
    }

    @Test
    void aRestartedEndpointIsANewIncarnation() {
        mDirectory.register(registered("a", false, 10, 1), 0);
        EndpointState before = mDirectory.find("a").orElseThrow();
        before.health().recordFailure(0);
        mDirectory.register(registered("a", false, 20, 2), 0);

        assertThat(mDirectory.find("a").orElseThrow().health().failureShare()).isZero();
        assertThat(mDirectory.mayReceiveRequests(before)).isFalse();
    }

    @Test
    void endpointsOfADomainOutOfServiceAreNotUsableUntilItReturns() {
        mDirectory.register(registered("a", false, 0, 1), 0);
        mDirectory.setDomainsOutOfService(Set.of("rennes"));
        assertThat(mDirectory.usable("service")).isEmpty();
        mDirectory.setDomainsOutOfService(Set.of());
        assertThat(mDirectory.usable("service")).hasSize(1);
    }

    @Test
    void aMissingEndpointIsRemovedUnlessItRegistersAgainInTime() {
        mDirectory.register(registered("back", false, 0, 1), 0);
        mDirectory.register(registered("gone", false, 0, 2), 0);
        mDirectory.markMissing("back", 2_000);
        mDirectory.markMissing("gone", 2_000);
        mDirectory.register(registered("back", false, 0, 3), 500);

        assertThat(mDirectory.removeExpired(1_999)).isEmpty();
        assertThat(mDirectory.removeExpired(2_000)).containsExactly("gone");
        assertThat(mDirectory.usable("service")).hasSize(1);
    }

    @Test
    void anUnreachableDomainIsAvoidedWhileOthersAreReachable() {
        mDirectory.register(registered("near", false, 0, 1), 0);
        mDirectory.register(
                new EndpointRegistration(
                        "far",
                        "service",
                        "10.0.0.2",
                        80,
                        "brest",
                        1,
                        false,
                        0,
                        0,
                        "v1",
                        new StoreRevision(0, 2)),
                0);
        assertThat(mDirectory.usable("service", in("rennes"), in("brest")))
                .extracting(each -> each.registration().name())
                .containsExactly("near");
        assertThat(mDirectory.usable("service", group -> true, group -> true)).hasSize(2);
    }

    @Test
    void onlyDomainsThatAnotherInstanceReachesAreUsedIfThisOneReachesNone() {
        mDirectory.register(registered("near", false, 0, 1), 0);
        mDirectory.register(
                new EndpointRegistration(
                        "far",
                        "service",
                        "10.0.0.2",
                        80,
                        "brest",
                        1,
                        false,
                        0,
                        0,
                        "v1",
                        new StoreRevision(0, 2)),
                0);

        assertThat(mDirectory.usable("service", group -> false, in("brest")))
                .extracting(each -> each.registration().name())
                .containsExactly("far");
        assertThat(mDirectory.usable("service", group -> false, group -> false)).hasSize(2);
    }

    /** Guards against a draining endpoint in use after the store came back from an older copy. */
    @Test
    void aLeaveOfALaterEraCountsThoughItsVersionIsLower() {
        mDirectory.register(inEra(1, 90, false), 0);

        assertThat(mDirectory.register(inEra(2, 40, true), 0))
                .isEqualTo(EndpointDirectory.Change.LEAVING);
        assertThat(mDirectory.register(inEra(1, 91, false), 0))
                .as("a late row of the earlier era")
                .isNotEqualTo(EndpointDirectory.Change.ADDED);
        assertThat(mDirectory.usable("service")).isEmpty();
    }

    @Test
    void anOlderCopyDoesNotTakeALeaveBackButALaterRowDoes() {
        mDirectory.register(inEra(1, 90, true), 0);

        assertThat(mDirectory.register(inEra(2, 40, false), 0))
                .isEqualTo(EndpointDirectory.Change.DOUBTED);
        mDirectory.register(inEra(2, 40, false), 0);
        assertThat(mDirectory.usable("service")).isEmpty();

        mDirectory.register(inEra(2, 41, false), 0);
        assertThat(mDirectory.usable("service")).hasSize(1);
    }

    @Test
    void anOlderCopyDoesNotBringAnEndpointBackThatIsGone() {
        mDirectory.register(inEra(1, 90, false), 0);
        mDirectory.remove("a", 0);

        mDirectory.register(inEra(2, 40, false), 0);
        assertThat(mDirectory.usable("service")).isEmpty();
        mDirectory.register(inEra(2, 41, false), 0);
        assertThat(mDirectory.usable("service")).hasSize(1);
    }

    @Test
    void anEndpointThatIsGoneMayRegisterAgainInTheSameEra() {
        mDirectory.register(inEra(1, 90, false), 0);
        mDirectory.remove("a", 0);

        mDirectory.register(inEra(1, 91, false), 0);
        assertThat(mDirectory.usable("service")).hasSize(1);
    }

    /** Guards against requests to an endpoint that said in an answer that it leaves. */
    @Test
    void noRegistrationTakesBackWhatAnEndpointSaidItself() {
        mDirectory.register(inEra(1, 90, false), 0);
        assertThat(mDirectory.announceLeave(mDirectory.find("a").orElseThrow(), 0)).isTrue();

        mDirectory.register(inEra(1, 91, false), 0);
        assertThat(mDirectory.usable("service")).isEmpty();
        mDirectory.remove("a", 0);
        mDirectory.register(inEra(1, 92, false), 0);
        assertThat(mDirectory.usable("service")).isEmpty();

        mDirectory.register(registered("b", false, 0, 93), 0);
        assertThat(mDirectory.usable("service"))
                .as("another endpoint at the same address")
                .hasSize(1);
    }

    @Test
    void aLaterIncarnationOfAnEndpointThatLeftIsUsable() {
        mDirectory.register(registered("a", false, 10, 1), 0);
        mDirectory.announceLeave(mDirectory.find("a").orElseThrow(), 0);

        mDirectory.register(registered("a", false, 20, 2), 0);
        assertThat(mDirectory.usable("service")).hasSize(1);
    }

    private static EndpointRegistration inEra(long era, long version, boolean leaving) {
        StoreRevision revision = new StoreRevision(era, version);
        return new EndpointRegistration(
                "a", "service", "10.0.0.1", 80, "rennes", 1, leaving, 0, 0, "v1", revision);
    }

    private static Predicate<EndpointGroup> in(String domain) {
        return group -> group.failureDomain().equals(domain);
    }
}
