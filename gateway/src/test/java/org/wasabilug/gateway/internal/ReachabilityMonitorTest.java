package org.wasabilug.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.gateway.internal.endpoint.ConnectionRouter.Relay;
import org.wasabilug.internal.serving.ConnectionResult;
import org.wasabilug.internal.serving.EndpointGroup;
import org.wasabilug.internal.serving.RelayCandidate;
import org.wasabilug.messages.gateway.RelayReply;
import org.wasabilug.serving.EndpointRegistration;
import org.wasabilug.serving.StoreRevision;

class ReachabilityMonitorTest {
    private static final InetSocketAddress UNUSED = new InetSocketAddress("127.0.0.1", 1);
    private static final EndpointGroup GROUP = new EndpointGroup("ledger", "brest");

    /** Enough for each order of two relays to come up. */
    private static final int TIMES = 50;

    private static final Relay PEER = new Relay("peer", UNUSED);

    private final DisconnectedState mDisconnected = new DisconnectedState();
    private final GatewayState mState = mDisconnected.state();

    @AfterEach
    void stop() {
        mDisconnected.close();
    }

    @Test
    void anIdleConnectionThroughARelayThatHasLostTheEndpointsIsNotUsed() throws Exception {
        mState.reachability().peers(peer(Set.of()));
        assertThat(call(() -> mState.reachability().accepts(PEER, GROUP))).isTrue();

        mState.reachability().peers(peer(Set.of(GROUP)));
        assertThat(call(() -> mState.reachability().accepts(PEER, GROUP))).isFalse();
    }

    @Test
    void anInstanceThatReachesNoEndpointAndHearsNoneOfTheOthersIsCutOff() throws Exception {
        mState.instances(() -> Set.of("gateway-1", "gateway-2"));
        refuse("ledger");

        assertThat(call(mState.reachability()::isCutOff)).isTrue();
    }

    @Test
    void anInstanceThatIsAloneOrReachesAnyEndpointIsNotCutOff() throws Exception {
        refuse("ledger");
        assertThat(call(mState.reachability()::isCutOff)).isFalse();

        mState.instances(() -> Set.of("gateway-1", "gateway-2"));
        register("encoder");
        assertThat(call(mState.reachability()::isCutOff)).isFalse();
    }

    @Test
    void aRelayThatIsLateIsAskedLastUntilItReplies() throws Exception {
        EndpointRegistration endpoint = register("ledger");
        mState.reachability().peers(peers("late", "prompt"));
        Relay late = new Relay("late", UNUSED);

        run(() -> mState.reachability().relayLate(late));
        for (int time = 0; time < TIMES; time++) {
            assertThat(firstRelay()).isEqualTo("prompt");
        }
        run(
                () ->
                        mState.reachability()
                                .relayed(late, endpoint, "id", RelayReply.Status.NO_CAPACITY));
        Set<String> first = new HashSet<>();
        for (int time = 0; time < TIMES; time++) {
            first.add(firstRelay());
        }
        assertThat(first).containsExactlyInAnyOrder("late", "prompt");
    }

    private String firstRelay() throws Exception {
        return call(() -> mState.reachability().witnesses(GROUP).getFirst().instance());
    }

    private void run(Runnable action) throws Exception {
        mState.loop().submit(action).get();
    }

    @Test
    void aGroupIsSilentOnlyIfSeveralOfItsEndpointsAre() throws Exception {
        List<EndpointRegistration> endpoints =
                List.of(register("ledger"), register("ledger", 1), register("encoder"));
        call(
                () -> {
                    for (EndpointRegistration endpoint : endpoints) {
                        mState.reachability().attempted(endpoint, ConnectionResult.SILENT);
                    }
                    assertThat(mState.reachability().isSilent(GROUP)).isTrue();
                    assertThat(
                                    mState.reachability()
                                            .isSilent(new EndpointGroup("encoder", "brest")))
                            .isFalse();
                    return null;
                });
    }

    private void refuse(String service) throws Exception {
        EndpointRegistration endpoint = register(service);
        call(
                () -> {
                    mState.reachability().attempted(endpoint, ConnectionResult.REFUSED);
                    return null;
                });
    }

    private EndpointRegistration register(String service) throws Exception {
        return register(service, 0);
    }

    private EndpointRegistration register(String service, int number) throws Exception {
        String name = service + "-" + number;
        EndpointRegistration endpoint =
                new EndpointRegistration(
                        name,
                        service,
                        "127.0.0.1",
                        1,
                        "brest",
                        1,
                        false,
                        0,
                        1,
                        "v1",
                        new StoreRevision(0, 1));
        call(() -> mState.directory().register(endpoint, GatewayState.clockMillis()));
        return endpoint;
    }

    private <T> T call(Callable<T> action) throws Exception {
        return mState.loop().submit(action).get();
    }

    private static RelayPeers peer(Set<EndpointGroup> unreachable) {
        return peers(List.of(new RelayCandidate("peer", "brest", unreachable)));
    }

    private static RelayPeers peers(String... names) {
        return peers(
                Arrays.stream(names)
                        .map(name -> new RelayCandidate(name, "brest", Set.of()))
                        .toList());
    }

    private static RelayPeers peers(List<RelayCandidate> candidates) {
        return new RelayPeers() {
            @Override
            public Collection<RelayCandidate> candidates() {
                return candidates;
            }

            @Override
            public InetSocketAddress address(String instance) {
                return UNUSED;
            }
        };
    }
}
