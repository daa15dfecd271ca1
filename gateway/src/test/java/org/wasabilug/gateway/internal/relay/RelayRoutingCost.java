package org.wasabilug.gateway.internal.relay;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.RelayPeers;
import org.wasabilug.gateway.internal.endpoint.EndpointConnections;
import org.wasabilug.gateway.internal.log.DecisionLog;
import org.wasabilug.internal.serving.ConnectionResult;
import org.wasabilug.internal.serving.RelayCandidate;
import org.wasabilug.messages.gateway.GatewayHeartbeat;
import org.wasabilug.serving.EndpointRegistration;
import org.wasabilug.serving.StoreRevision;

/** Prints the time to list the usable endpoints at an instance that reaches none of them. */
final class RelayRoutingCost {
    private static final int DOMAINS = 6;
    private static final int ENDPOINTS = 500;
    private static final int WARM_UP_CALLS = 200;
    private static final int CALLS = 200;

    private RelayRoutingCost() {}

    /**
     * Runs the measurement.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        for (int instances : new int[] {24, 100, 450}) {
            EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
            loops.submit(() -> print(instances, loops)).syncUninterruptibly();
        }
        System.exit(0);
    }

    private static void print(int instances, EventLoopGroup loops) {
        GatewayState state =
                new GatewayState(
                        RelayInstance.settings("local", new InetSocketAddress("127.0.0.1", 1)),
                        null,
                        loops.next(),
                        new EndpointConnections(loops, "Id", GatewayState::clockMillis, "local"),
                        new DecisionLog(new MetricRegistry(), GatewayState::clockMillis));
        state.reachability().peers(peers(instances));
        IntStream.range(0, ENDPOINTS)
                .mapToObj(RelayRoutingCost::endpoint)
                .forEach(each -> register(state, each));
        double reached = medianMicros(state);
        state.directory().all().forEach(each -> fail(state, each.registration()));
        System.out.printf(
                "usable endpoints of %d at one of %d instances, median of %d: reached %.0f us,"
                        + " cut off %.0f us%n",
                ENDPOINTS, instances, CALLS, reached, medianMicros(state));
    }

    private static void register(GatewayState state, EndpointRegistration endpoint) {
        state.directory().register(endpoint, GatewayState.clockMillis());
    }

    private static void fail(GatewayState state, EndpointRegistration endpoint) {
        state.reachability().attempted(endpoint, ConnectionResult.REFUSED);
    }

    private static EndpointRegistration endpoint(int number) {
        return new EndpointRegistration(
                "engine-" + number,
                "ledger",
                "127.0.0.1",
                1,
                "domain-" + number % DOMAINS,
                4,
                false,
                0,
                1,
                "v1",
                new StoreRevision(0, 1));
    }

    private static RelayPeers peers(int instances) {
        List<GatewayHeartbeat> heartbeats =
                IntStream.range(1, instances)
                        .mapToObj(
                                each ->
                                        GatewayHeartbeat.newBuilder()
                                                .setFailureDomain("domain-" + each % DOMAINS)
                                                .setRelaysConnections(true)
                                                .build())
                        .toList();
        return new RelayPeers() {
            @Override
            public Collection<RelayCandidate> candidates() {
                return heartbeats.stream()
                        .filter(GatewayHeartbeat::getRelaysConnections)
                        .map(RelayRoutingCost::candidate)
                        .toList();
            }

            @Override
            public InetSocketAddress address(String instance) {
                return new InetSocketAddress("127.0.0.1", 1);
            }
        };
    }

    private static RelayCandidate candidate(GatewayHeartbeat heartbeat) {
        return new RelayCandidate("instance", heartbeat.getFailureDomain(), Set.of());
    }

    private static double medianMicros(GatewayState state) {
        for (int call = 0; call < WARM_UP_CALLS; call++) {
            state.usable("ledger");
        }
        long[] nanos = new long[CALLS];
        for (int call = 0; call < CALLS; call++) {
            long started = System.nanoTime();
            state.usable("ledger");
            nanos[call] = System.nanoTime() - started;
        }
        Arrays.sort(nanos);
        return nanos[CALLS / 2] / (double) TimeUnit.MICROSECONDS.toNanos(1);
    }
}
