package org.wasabilug.gateway.internal;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import org.wasabilug.gateway.FeatureSettings;
import org.wasabilug.gateway.GatewaySettings;
import org.wasabilug.gateway.internal.endpoint.EndpointConnections;
import org.wasabilug.gateway.internal.log.DecisionLog;
import org.wasabilug.internal.serving.ColdLimits;
import org.wasabilug.internal.serving.RetryLimits;

/** State of an instance that has no connections and knows no protocol. */
public final class DisconnectedState implements AutoCloseable {
    private static final InetSocketAddress UNUSED_ADDRESS = new InetSocketAddress("127.0.0.1", 1);

    private final EventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final GatewayState mState =
            new GatewayState(
                    new GatewaySettings(
                            "gateway-1",
                            "rennes",
                            UNUSED_ADDRESS,
                            UNUSED_ADDRESS,
                            UNUSED_ADDRESS,
                            UNUSED_ADDRESS,
                            UNUSED_ADDRESS,
                            new RetryLimits(0.2, 50, 10_000),
                            new ColdLimits(1.5, 5),
                            1,
                            true,
                            8_000,
                            FeatureSettings.DEFAULT),
                    null,
                    mLoops.next(),
                    new EndpointConnections(mLoops, "Id", GatewayState::clockMillis, "gateway-1"),
                    new DecisionLog(new MetricRegistry(), GatewayState::clockMillis));

    /** Returns the state. */
    public GatewayState state() {
        return mState;
    }

    @Override
    public void close() {
        mLoops.shutdownGracefully();
    }
}
