package org.wasabilug.gateway.internal.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.endpoint.KeepAlive;
import org.wasabilug.gateway.internal.limit.ConnectionBound;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.ConnectionResult;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.messages.gateway.RelayReply;
import org.wasabilug.messages.gateway.RelayRequest;

/** Relays connections of other instances to endpoints which those can't reach themselves. */
public final class RelayListener {
    /** Connections beyond the maximum that are open only until their refusal is sent. */
    private static final int REFUSALS = 16;

    private final GatewayState mState;
    private final EventLoopGroup mLoops;
    private final Set<Channel> mRelayed = new HashSet<>();
    private final int mMaxConnections;
    private final ConnectionBound mBound;
    private final Requests mRequests = new Requests();
    private Channel mServer;

    /**
     * Creates a listener that is not listening yet.
     *
     * @param state state of this process
     * @param loops event loop of all connections
     */
    public RelayListener(GatewayState state, EventLoopGroup loops) {
        mState = state;
        mLoops = loops;
        mMaxConnections = state.connectionShares().relays();
        mBound =
                new ConnectionBound(
                        mMaxConnections + REFUSALS, () -> state.callerLimited("relays"));
    }

    /**
     * Starts to listen.
     *
     * @param address address to bind
     * @throws InterruptedException if interrupted while binding
     */
    public void listen(InetSocketAddress address) throws InterruptedException {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline().addLast(mBound);
                                        RelayFraming.install(
                                                channel.pipeline(),
                                                RelayRequest.getDefaultInstance());
                                        channel.pipeline()
                                                .addLast(new RelayRequestReader(mRequests));
                                    }
                                });
        KeepAlive.apply(bootstrap::childOption);
        mServer = bootstrap.bind(address).sync().channel();
    }

    /** Stops listening; connections that are relayed stay open. */
    public void close() {
        if (mServer != null) {
            mServer.close();
        }
    }

    /** Returns the number of connections that are relayed. */
    public int connections() {
        return mRelayed.size();
    }

    /** Answers the requests of other instances. */
    private final class Requests implements RelayRequestReader.Receiver {
        @Override
        public void received(Channel asking, RelayRequest request) {
            Optional<EndpointState> endpoint = endpoint(request);
            if (endpoint.isEmpty()) {
                refuse(asking, request, RelayReply.Status.NO_ENDPOINT);
            } else if (mRelayed.size() >= mMaxConnections || mState.stop().isPresent()) {
                refuse(asking, request, RelayReply.Status.NO_CAPACITY);
            } else {
                connect(asking, request, endpoint.get());
            }
        }

        @Override
        public void rejected(Channel asking, String reason) {
            mState.log()
                    .request(
                            LogLine.of("connection-not-relayed")
                                    .with("remote", String.valueOf(asking.remoteAddress()))
                                    .with("result", reason));
        }
    }

    private Optional<EndpointState> endpoint(RelayRequest request) {
        return mState.directory()
                .find(request.getEndpoint())
                .filter(mState.directory()::mayReceiveRequests);
    }

    private void connect(Channel asking, RelayRequest request, EndpointState endpoint) {
        mRelayed.add(asking);
        asking.closeFuture().addListener(closed -> mRelayed.remove(asking));
        mState.connections()
                .connect(
                        endpoint.registration(),
                        (result, channel) -> {
                            if (result == ConnectionResult.OPENED) {
                                opened(asking, request, channel);
                            } else {
                                explain(asking, request, endpoint, result);
                            }
                        });
    }

    /** Tells whether it is the endpoint that can't be reached, or all of its group. */
    private void explain(
            Channel asking, RelayRequest request, EndpointState endpoint, ConnectionResult result) {
        mState.reachability()
                .checkOthers(
                        endpoint.registration(),
                        reached ->
                                refuse(
                                        asking,
                                        request,
                                        reached ? status(result) : RelayReply.Status.NO_ROUTE));
    }

    private static RelayReply.Status status(ConnectionResult result) {
        return result == ConnectionResult.SILENT
                ? RelayReply.Status.SILENT
                : RelayReply.Status.REFUSED;
    }

    private void opened(Channel asking, RelayRequest request, Channel endpoint) {
        if (!asking.isActive()) {
            endpoint.close();
            return;
        }
        log("connection-relayed", request, RelayReply.Status.OPENED);
        asking.writeAndFlush(reply(RelayReply.Status.OPENED));
        asking.pipeline().remove(RelayRequestReader.class);
        ByteForwarder.join(asking, endpoint);
        RelayFraming.removeEncoder(asking.pipeline());
        RelayFraming.removeDecoder(asking.pipeline());
    }

    private void refuse(Channel asking, RelayRequest request, RelayReply.Status status) {
        log("connection-not-relayed", request, status);
        asking.writeAndFlush(reply(status)).addListener(written -> asking.close());
    }

    private static RelayReply reply(RelayReply.Status status) {
        return RelayReply.newBuilder().setStatus(status).build();
    }

    private void log(String event, RelayRequest request, RelayReply.Status status) {
        mState.log()
                .request(
                        LogLine.of(event)
                                .with("instance", request.getSender())
                                .with("endpoint", request.getEndpoint())
                                .with("request", request.getRequest())
                                .with("result", status.name()));
    }
}
