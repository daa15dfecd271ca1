package org.wasabilug.gateway.internal.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Queue;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.wasabilug.serving.CallerLimits;

/** Accepts connections of callers and limits what they may send. */
public final class CallerListener {
    private static final int BACKLOG = 1_024;
    private static final int MAX_READS_AT_ONCE = 16;

    private final EventLoopGroup mLoops;
    private final Supplier<CallerLimits> mLimits;
    private final LongSupplier mClockMillis;
    private final CallerEvents mEvents;
    private final Set<CallerConnection> mConnections = new LinkedHashSet<>();
    private Channel mServer;
    private boolean mStopping;

    /**
     * Creates a listener that is not listening yet.
     *
     * @param loops event loop of all connections
     * @param limits active limits
     * @param clockMillis monotonic clock in milliseconds
     * @param events receives the requests
     */
    public CallerListener(
            EventLoopGroup loops,
            Supplier<CallerLimits> limits,
            LongSupplier clockMillis,
            CallerEvents events) {
        mLoops = loops;
        mLimits = limits;
        mClockMillis = clockMillis;
        mEvents = events;
    }

    /**
     * Starts to listen.
     *
     * @param address address to bind
     * @return the bound address
     * @throws InterruptedException if interrupted while binding
     */
    public InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
        mServer =
                new ServerBootstrap()
                        .group(mLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.RECVBUF_ALLOCATOR, readingToTheEnd())
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        initPipeline(channel);
                                    }
                                })
                        .bind(address)
                        .sync()
                        .channel();
        return (InetSocketAddress) mServer.localAddress();
    }

    /**
     * Reads until there is nothing more, so that the end of a connection is seen together with the
     * bytes before it.
     */
    private static RecvByteBufAllocator readingToTheEnd() {
        return new AdaptiveRecvByteBufAllocator()
                .respectMaybeMoreData(false)
                .maxMessagesPerRead(MAX_READS_AT_ONCE);
    }

    private void initPipeline(SocketChannel channel) {
        Queue<HttpMethod> methods = new ArrayDeque<>();
        channel.pipeline()
                .addLast(new CallerRequestDecoder(mLimits, methods))
                .addLast(new CallerResponseEncoder(methods))
                .addLast(new CallerConnection(this));
    }

    /** Closes connections that are idle or send too slowly; to be called several times a second. */
    public void enforceTimeouts() {
        long now = nowMillis();
        CallerLimits limits = limits();
        for (CallerConnection connection : new ArrayList<>(mConnections)) {
            connection.enforceTimeouts(now, limits.idleMillis(), limits.headerMillis());
        }
    }

    /** Closes each connection after its next response. */
    public void startStopping() {
        mStopping = true;
    }

    /** Closes the connections without a request in progress. */
    public void closeIdle() {
        for (CallerConnection connection : new ArrayList<>(mConnections)) {
            if (connection.idle()) {
                connection.channel().close();
            }
        }
    }

    /** Ends the requests in progress, each with a response if it has none. */
    public void endRequests() {
        new ArrayList<>(mConnections).forEach(CallerConnection::endRequest);
    }

    /** Returns the number of open connections. */
    public int connections() {
        return mConnections.size();
    }

    /** Stops listening. */
    public void close() {
        if (mServer != null) {
            mServer.close();
        }
    }

    CallerLimits limits() {
        return mLimits.get();
    }

    long nowMillis() {
        return mClockMillis.getAsLong();
    }

    boolean stopping() {
        return mStopping;
    }

    void opened(CallerConnection connection) {
        mConnections.add(connection);
    }

    void closed(CallerConnection connection) {
        mConnections.remove(connection);
    }

    void received(CallerExchange exchange) {
        mEvents.received(exchange);
    }

    void unanswered(String reason, int requests) {
        mEvents.unanswered(reason, requests);
    }

    void refused(HttpResponseStatus status) {
        mEvents.refused(status);
    }
}
