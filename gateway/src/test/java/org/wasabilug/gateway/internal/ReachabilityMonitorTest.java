package org.wasabilug.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.gateway.GatewaySettings;
import org.wasabilug.gateway.internal.endpoint.ConnectionRouter.Relay;
import org.wasabilug.gateway.internal.endpoint.EndpointConnections;
import org.wasabilug.gateway.internal.log.DecisionLog;
import org.wasabilug.internal.serving.ColdLimits;
import org.wasabilug.internal.serving.ConnectionResult;
import org.wasabilug.internal.serving.EndpointGroup;
import org.wasabilug.internal.serving.RelayCandidate;
import org.wasabilug.internal.serving.RetryLimits;
import org.wasabilug.serving.EndpointRegistration;

class ReachabilityMonitorTest {
    private static final InetSocketAddress UNUSED = new InetSocketAddress("127.0.0.1", 1);
    private static final EndpointGroup GROUP = new EndpointGroup("ledger", "brest");
    private static final Relay PEER = new Relay("peer", UNUSED);

    private final EventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final GatewayState mState =
            new GatewayState(
                    new GatewaySettings(
                            "local",
                            "rennes",
                            UNUSED,
                            UNUSED,
                            UNUSED,
                            UNUSED,
                            UNUSED,
                            new RetryLimits(0.2, 50, 10_000),
                            new ColdLimits(1.5, 5),
                            1,
                            8_000),
                    null,
                    mLoops.next(),
                    new EndpointConnections(mLoops, "Id", GatewayState::clockMillis, "local"),
                    new DecisionLog(new MetricRegistry(), GatewayState::clockMillis));

    @AfterEach
    void stop() {
        mLoops.shutdownGracefully();
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
        mState.instances(() -> 2);
        refuse("ledger");

        assertThat(call(mState.reachability()::isCutOff)).isTrue();
    }

    @Test
    void anInstanceThatIsAloneOrReachesAnyEndpointIsNotCutOff() throws Exception {
        refuse("ledger");
        assertThat(call(mState.reachability()::isCutOff)).isFalse();

        mState.instances(() -> 2);
        register("encoder");
        assertThat(call(mState.reachability()::isCutOff)).isFalse();
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
        EndpointRegistration endpoint =
                new EndpointRegistration(
                        service + "-0", service, "127.0.0.1", 1, "brest", 1, false, 0, 1, "v1", 1);
        call(() -> mState.directory().register(endpoint, GatewayState.clockMillis()));
        return endpoint;
    }

    private <T> T call(Callable<T> action) throws Exception {
        return mLoops.submit(action).get();
    }

    private static RelayPeers peer(Set<EndpointGroup> unreachable) {
        return new RelayPeers() {
            @Override
            public Collection<RelayCandidate> candidates() {
                return List.of(new RelayCandidate("peer", "brest", unreachable));
            }

            @Override
            public InetSocketAddress address(String instance) {
                return UNUSED;
            }
        };
    }
}
