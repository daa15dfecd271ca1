package org.wasabilug.gateway.internal.relay;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.Callable;
import org.wasabilug.gateway.CallerSettings;
import org.wasabilug.gateway.FeatureSettings;
import org.wasabilug.gateway.FeatureSettings.MachineLimits;
import org.wasabilug.gateway.GatewaySettings;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.endpoint.ConnectionRouter.Relay;
import org.wasabilug.gateway.internal.endpoint.EndpointConnections;
import org.wasabilug.gateway.internal.log.DecisionLog;
import org.wasabilug.internal.serving.ColdLimits;
import org.wasabilug.internal.serving.HedgeLimits;
import org.wasabilug.internal.serving.RetryLimits;
import org.wasabilug.internal.serving.RolloutLimits;
import org.wasabilug.internal.serving.ShutdownSchedule;
import org.wasabilug.serving.EndpointRegistration;

/** The part of an instance that relays connections of others. */
final class RelayInstance implements AutoCloseable {
    private static final InetSocketAddress UNUSED = new InetSocketAddress("127.0.0.1", 1);
    private static final long STOP_MILLIS = 8_000;

    private final EventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final String mName;
    private final InetSocketAddress mAddress;
    private final GatewayState mState;
    private final RelayListener mListener;

    /** Starts an instance on a loopback host that no outgoing connection uses as its own. */
    RelayInstance(String name, String host) throws IOException, InterruptedException {
        this(name, host, MachineLimits.UNKNOWN);
    }

    /** Starts an instance on a machine with the given limits. */
    RelayInstance(String name, String host, MachineLimits machine)
            throws IOException, InterruptedException {
        mName = name;
        mAddress = freeAddress(host);
        mState =
                new GatewayState(
                        settings(name, mAddress, machine),
                        null,
                        mLoops.next(),
                        new EndpointConnections(mLoops, "Id", GatewayState::clockMillis, name),
                        new DecisionLog(mMetrics, GatewayState::clockMillis));
        mListener = new RelayListener(mState, mLoops);
        mListener.listen(mAddress);
    }

    static GatewaySettings settings(String name, InetSocketAddress relays) {
        return settings(name, relays, MachineLimits.UNKNOWN);
    }

    private static GatewaySettings settings(
            String name, InetSocketAddress relays, MachineLimits machine) {
        return new GatewaySettings(
                name,
                "rennes",
                UNUSED,
                UNUSED,
                UNUSED,
                relays,
                UNUSED,
                new RetryLimits(0.2, 50, 10_000),
                new ColdLimits(1.5, 5),
                1,
                true,
                STOP_MILLIS,
                new FeatureSettings(
                        RolloutLimits.DEFAULT,
                        false,
                        HedgeLimits.OFF,
                        machine,
                        CallerSettings.DEFAULT));
    }

    private static InetSocketAddress freeAddress(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return new InetSocketAddress(host, socket.getLocalPort());
        }
    }

    Relay relay() {
        return new Relay(mName, mAddress);
    }

    InetSocketAddress address() {
        return mAddress;
    }

    void register(EndpointRegistration endpoint) {
        call(() -> mState.directory().register(endpoint, GatewayState.clockMillis()));
    }

    void takeOutOfService(String domain) {
        call(
                () -> {
                    mState.directory().setDomainsOutOfService(List.of(domain));
                    return null;
                });
    }

    void startStop() {
        call(
                () -> {
                    mState.startStop(new ShutdownSchedule(GatewayState.clockMillis(), STOP_MILLIS));
                    return null;
                });
    }

    /** Returns the number of connections that are relayed now. */
    int connections() {
        return call(mListener::connections);
    }

    /** Returns how often the instance has logged an event. */
    long logged(String event) {
        return mMetrics.counter("decisions." + event).getCount();
    }

    private <V> V call(Callable<V> action) {
        return mLoops.submit(action).syncUninterruptibly().getNow();
    }

    @Override
    public void close() {
        mListener.close();
        mLoops.shutdownGracefully();
    }
}
