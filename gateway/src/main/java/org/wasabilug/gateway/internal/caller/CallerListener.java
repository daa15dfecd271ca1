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
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.wasabilug.gateway.CallerSettings;
import org.wasabilug.gateway.internal.limit.LeastUseful;
import org.wasabilug.gateway.internal.limit.MemoryBudget;
import org.wasabilug.gateway.internal.limit.OutputBudget;
import org.wasabilug.serving.CallerLimits;

/** Accepts connections of callers and limits what they may send. */
public final class CallerListener {
    private static final int BACKLOG = 1_024;

    /** Connections beyond the maximum that are open only until their request is refused. */
    static final int REFUSALS = 16;

    private static final int MAX_READS_AT_ONCE = 16;

    /** The process was paused if checks are further apart; callers are not to pay for that. */
    private static final long MAX_CHECK_MILLIS = 1_000;

    private final EventLoopGroup mLoops;
    private final Supplier<CallerLimits> mLimits;
    private final LongSupplier mClockMillis;
    private final CallerEvents mEvents;
    private final Set<CallerConnection> mConnections = new LinkedHashSet<>();
    private Channel mServer;
    private final CallerSettings mSettings;
    private final int mMaxConnections;
    private final MemoryBudget mMemory;
    private final OutputBudget mOutput;
    private boolean mStopping;
    private long mPausedMillis;
    private long mLastCheckMillis = Long.MAX_VALUE / 2;

    /**
     * Creates a listener that is not listening yet.
     *
     * @param loops event loop of all connections
     * @param limits active limits
     * @param clockMillis monotonic clock in milliseconds
     * @param events receives the requests
     * @param settings limits on all callers together
     * @param maxConnections maximum number of connections
     */
    public CallerListener(
            EventLoopGroup loops,
            Supplier<CallerLimits> limits,
            LongSupplier clockMillis,
            CallerEvents events,
            CallerSettings settings,
            int maxConnections) {
        mLoops = loops;
        mLimits = limits;
        mClockMillis = clockMillis;
        mEvents = events;
        mSettings = settings;
        mMaxConnections = maxConnections;
        long heapBytes = Runtime.getRuntime().maxMemory();
        mMemory = new MemoryBudget(settings.memoryBytes(heapBytes), this::timerMillis);
        mOutput = new OutputBudget(settings.outputBytes(heapBytes));
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
        CallerConnection connection = new CallerConnection(this, channel);
        channel.pipeline()
                .addLast(new CallerRequestDecoder(mLimits, methods, connection.input()))
                .addLast(new CallerResponseEncoder(methods))
                .addLast(connection);
    }

    /** Closes connections that are idle or send too slowly; to be called several times a second. */
    public void enforceTimeouts() {
        long now = nowMillis();
        mPausedMillis += Math.max(0, now - mLastCheckMillis - MAX_CHECK_MILLIS);
        mLastCheckMillis = now;
        mOutput.refresh();
        for (CallerConnection connection : new ArrayList<>(mConnections)) {
            connection.enforceTimeouts(timerMillis(), limits());
        }
    }

    /** Closes each connection after its next response. */
    public void startStopping() {
        mStopping = true;
    }

    /** Closes the connections without a request in progress or a response still to be sent. */
    public void closeIdle() {
        for (CallerConnection connection : new ArrayList<>(mConnections)) {
            if (connection.idle() && !connection.answering()) {
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

    /** Returns the time for time limits, which stands still while the process is paused. */
    long timerMillis() {
        return nowMillis() - mPausedMillis;
    }

    CallerSettings settings() {
        return mSettings;
    }

    MemoryBudget memory() {
        return mMemory;
    }

    OutputBudget output() {
        return mOutput;
    }

    boolean stopping() {
        return mStopping;
    }

    void opened(CallerConnection connection) {
        if (mConnections.size() >= mMaxConnections) {
            limited(CallerLimit.CONNECTIONS);
            Optional<CallerConnection> victim =
                    LeastUseful.of(mConnections.stream().filter(each -> !each.surplus()));
            if (victim.isEmpty()) {
                connection.markSurplus();
                victim = surplusVictim();
            }
            victim.ifPresent(this::closeFor);
        }
        mConnections.add(connection);
    }

    /** Returns the connection to close so that few are open that wait for their refusal. */
    private Optional<CallerConnection> surplusVictim() {
        return mConnections.size() < mMaxConnections + REFUSALS
                ? Optional.empty()
                : LeastUseful.of(mConnections.stream().filter(CallerConnection::surplus));
    }

    private void closeFor(CallerConnection victim) {
        closed(victim);
        victim.channel().close();
    }

    /** Returns whether as many connections are open as may be served. */
    boolean full() {
        return mConnections.stream().filter(each -> !each.surplus()).count() >= mMaxConnections;
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

    void limited(CallerLimit limit) {
        mEvents.limited(limit.text());
    }

    void refused(HttpResponseStatus status) {
        mEvents.refused(status);
    }
}
