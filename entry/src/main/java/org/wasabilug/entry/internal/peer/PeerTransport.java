package org.wasabilug.entry.internal.peer;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslContext;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wasabilug.messages.PeerEnvelope;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.PeerMessage;

/**
 * Sends messages between instances over TCP. Sending never blocks: messages that a connection can't
 * buffer are dropped, because the core's periodic exchange compensates for lost messages.
 */
public final class PeerTransport implements AutoCloseable {
    private static final Logger LOGGER = LogManager.getLogger(PeerTransport.class);
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 2_000;
    private static final int MAXIMUM_PENDING_SENDS = 4_096;

    /**
     * Number of connections from which idle ones are removed before another is added; connections
     * in use are not limited.
     */
    private static final int IDLE_REMOVAL_CONNECTIONS = 1_024;

    private static final long CLOSE_QUIET_MILLIS = 20;
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    private final InstanceName mName;
    private final long mIncarnation;
    private final PeerTransportLimits mLimits;
    private final TransportCounters mCounters = new TransportCounters();
    private final ReplyChannels mReplyChannels = new ReplyChannels();
    private final Map<String, PeerConnection> mConnections = new HashMap<>();
    private final AtomicInteger mPendingSends = new AtomicInteger();
    private final EventLoopGroup mGroup;
    private final EventLoop mLoop;
    private final ChannelGroup mInbound;
    private final Bootstrap mBootstrap;
    private final Channel mListener;

    private PeerTransport(Builder builder) {
        mName = builder.mName;
        mIncarnation = builder.mIncarnation;
        mLimits = builder.mLimits;
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mLoop = mGroup.next();
        mInbound = new DefaultChannelGroup(mLoop);
        mBootstrap = newBootstrap(builder);
        mListener = listen(builder);
    }

    /**
     * Returns a builder; name and listen address are required.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    private Bootstrap newBootstrap(Builder builder) {
        return new Bootstrap()
                .group(mGroup)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .handler(
                        new PeerChannelInitializer(
                                mLimits,
                                builder.mClientEncryption,
                                () -> newHandler(builder.mReceiver)));
    }

    private WriteBufferWaterMark waterMark() {
        return new WriteBufferWaterMark(mLimits.maximumQueuedBytes() / 2, queueLimitBytes());
    }

    /**
     * A channel accepts one more message while it is below the high-water mark, so the mark leaves
     * space for one message.
     */
    private int queueLimitBytes() {
        return Math.max(
                mLimits.maximumQueuedBytes() - mLimits.maximumFrameBytes(),
                mLimits.maximumQueuedBytes() / 2);
    }

    private PeerChannelHandler newHandler(PeerReceiver receiver) {
        return new PeerChannelHandler(mReplyChannels, receiver, mCounters);
    }

    private Channel listen(Builder builder) {
        PeerChannelInitializer initializer =
                new PeerChannelInitializer(
                        mLimits, builder.mServerEncryption, () -> newHandler(builder.mReceiver));
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                        .childHandler(new InboundLimiter(mInbound, mLimits, initializer))
                        .bind(builder.mListenAddress)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            close();
            throw PeerReporter.cannotListen(builder.mListenAddress, bound.cause());
        }
        return bound.channel();
    }

    /**
     * Returns the address at which peers reach this transport.
     *
     * @return bound address with the actual port
     */
    public InetSocketAddress listenAddress() {
        return (InetSocketAddress) mListener.localAddress();
    }

    /**
     * Sends a message asynchronously. The message may be lost.
     *
     * @param peer name of the receiving instance
     * @param address IP address and port; empty to use the connection over which the last message
     *     of that peer arrived
     * @param message the message
     */
    public void send(InstanceName peer, String address, PeerMessage message) {
        if (mLoop.isShuttingDown() || mPendingSends.get() >= MAXIMUM_PENDING_SENDS) {
            mCounters.dropped();
            return;
        }
        mPendingSends.incrementAndGet();
        mLoop.execute(
                () -> {
                    mPendingSends.decrementAndGet();
                    sendOnLoop(peer, address, message);
                });
    }

    private void sendOnLoop(InstanceName peer, String address, PeerMessage message) {
        PeerEnvelope envelope = PeerMessageCodec.encode(mName, mIncarnation, message);
        if (envelope.getSerializedSize() > mLimits.maximumFrameBytes()) {
            mCounters.dropped();
            LOGGER.warn("Dropped a message to {}: it exceeds the maximum frame size", peer);
        } else if (address.isEmpty()) {
            mReplyChannels
                    .find(peer)
                    .ifPresentOrElse(
                            channel -> PeerConnection.write(channel, envelope, mCounters),
                            mCounters::dropped);
        } else {
            connection(address)
                    .ifPresentOrElse(connection -> connection.send(envelope), mCounters::dropped);
        }
    }

    private Optional<PeerConnection> connection(String address) {
        PeerConnection known = mConnections.get(address);
        if (known != null) {
            return Optional.of(known);
        }
        if (mConnections.size() >= IDLE_REMOVAL_CONNECTIONS) {
            mConnections.values().removeIf(PeerConnection::isIdle);
        }
        Optional<PeerConnection> created =
                parse(address)
                        .map(
                                parsed ->
                                        new PeerConnection(
                                                parsed, mBootstrap, mLoop, mLimits, mCounters));
        created.ifPresent(connection -> mConnections.put(address, connection));
        return created;
    }

    private static Optional<InetSocketAddress> parse(String address) {
        try {
            HostAndPort parsed = HostAndPort.fromString(address);
            return Optional.of(
                    new InetSocketAddress(
                            InetAddresses.forString(parsed.getHost()), parsed.getPort()));
        } catch (IllegalArgumentException | IllegalStateException invalid) {
            LOGGER.warn("Peer address '{}' is not an IP address with a port", address);
            return Optional.empty();
        }
    }

    /**
     * Returns the counters since the transport was opened.
     *
     * @return current values
     */
    public PeerTransportCounts counts() {
        return mCounters.counts();
    }

    /** Closes the listener and all connections. Messages in transit may be lost. */
    @Override
    public void close() {
        if (!mGroup.isShuttingDown()) {
            mLoop.execute(this::endLoop);
        }
        mGroup.terminationFuture()
                .awaitUninterruptibly(2 * CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** A loop without a quiet period may end before it has closed its connections. */
    private void endLoop() {
        mGroup.shutdownGracefully(CLOSE_QUIET_MILLIS, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Builds a {@link PeerTransport}. */
    public static final class Builder {
        private InstanceName mName;
        private long mIncarnation = 1;
        private InetSocketAddress mListenAddress;
        private PeerReceiver mReceiver = (sender, message) -> {};
        private PeerTransportLimits mLimits = PeerTransportLimits.defaults();
        private Optional<SslContext> mServerEncryption = Optional.empty();
        private Optional<SslContext> mClientEncryption = Optional.empty();

        private Builder() {}

        /**
         * Sets the name of this instance.
         *
         * @param value name to send with each message
         * @return this builder
         */
        public Builder name(InstanceName value) {
            mName = value;
            return this;
        }

        /**
         * Sets the process incarnation.
         *
         * @param value a number that increases with each restart of the instance
         * @return this builder
         */
        public Builder incarnation(long value) {
            mIncarnation = value;
            return this;
        }

        /**
         * Sets the address to listen on.
         *
         * @param value IP address and port; port 0 lets the operating system choose
         * @return this builder
         */
        public Builder listenAddress(InetSocketAddress value) {
            mListenAddress = value;
            return this;
        }

        /**
         * Sets the receiver of arriving messages.
         *
         * @param value called on the transport's event loop
         * @return this builder
         */
        public Builder receiver(PeerReceiver value) {
            mReceiver = value;
            return this;
        }

        /**
         * Sets the limits of the connections.
         *
         * @param value replaces the default limits
         * @return this builder
         */
        public Builder limits(PeerTransportLimits value) {
            mLimits = value;
            return this;
        }

        /**
         * Enables TLS for all connections. The contexts determine whether both sides present
         * certificates.
         *
         * @param server context for inbound connections
         * @param client context for outbound connections
         * @return this builder
         */
        public Builder encryption(SslContext server, SslContext client) {
            mServerEncryption = Optional.of(server);
            mClientEncryption = Optional.of(client);
            return this;
        }

        /**
         * Opens the transport and starts to listen.
         *
         * @return the open transport
         */
        public PeerTransport open() {
            return new PeerTransport(this);
        }
    }
}
