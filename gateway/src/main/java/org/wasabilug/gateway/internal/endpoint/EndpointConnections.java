package org.wasabilug.gateway.internal.endpoint;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import jdk.net.ExtendedSocketOptions;
import org.wasabilug.serving.EndpointRegistration;

/** Pool of connections to endpoints; opens a new one if none is idle. */
public final class EndpointConnections {
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEAD_BYTES = 65_536;
    private static final int KEEP_ALIVE_SECONDS = 1;
    private static final int KEEP_ALIVE_PROBES = 2;

    /**
     * A non-repeatable request is sent only on a new connection or one that was idle for less than
     * this, because a connection that the endpoint closes meanwhile would leave the outcome
     * unknown.
     */
    private static final long NON_REPEATABLE_MAX_IDLE_MILLIS = 1_500;

    private final Bootstrap mBootstrap;
    private final String mRequestIdHeader;
    private final LongSupplier mClockMillis;
    private final Map<String, ArrayDeque<EndpointConnection>> mIdle = new HashMap<>();

    /**
     * Creates an empty pool.
     *
     * @param loops event loop of all connections
     * @param requestIdHeader header that matches a response to its request
     * @param clockMillis monotonic clock in milliseconds
     */
    public EndpointConnections(
            EventLoopGroup loops, String requestIdHeader, LongSupplier clockMillis) {
        mRequestIdHeader = requestIdHeader;
        mClockMillis = clockMillis;
        mBootstrap =
                new Bootstrap()
                        .group(loops)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.SO_KEEPALIVE, true)
                        .option(
                                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE),
                                KEEP_ALIVE_SECONDS)
                        .option(
                                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
                                KEEP_ALIVE_SECONDS)
                        .option(
                                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT),
                                KEEP_ALIVE_PROBES)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    /**
     * Sends a request.
     *
     * @param endpoint endpoint to send to
     * @param request the request
     * @param listener receives the response
     * @return the call in progress
     */
    public EndpointCall send(
            EndpointRegistration endpoint, OutgoingRequest request, CallListener listener) {
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        request.headers().set(HttpHeaderNames.HOST, hostHeader(endpoint, request));
        EndpointCall call = new EndpointCall(request, listener);
        EndpointConnection idle = takeIdle(endpoint.name(), request.repeatable());
        if (idle == null) {
            open(endpoint, call);
        } else {
            idle.reuse(call);
        }
        return call;
    }

    /** Closes connections that were idle for too long; to be called about every second. */
    public void closeExpired() {
        long now = nowMillis();
        for (ArrayDeque<EndpointConnection> idle : mIdle.values()) {
            Iterator<EndpointConnection> iterator = idle.iterator();
            while (iterator.hasNext()) {
                EndpointConnection connection = iterator.next();
                if (!connection.usable(now)) {
                    iterator.remove();
                    connection.close();
                }
            }
        }
        mIdle.values().removeIf(ArrayDeque::isEmpty);
    }

    long nowMillis() {
        return mClockMillis.getAsLong();
    }

    void returnIdle(EndpointConnection connection) {
        mIdle.computeIfAbsent(connection.endpoint(), name -> new ArrayDeque<>())
                .addFirst(connection);
    }

    void closed(EndpointConnection connection) {
        ArrayDeque<EndpointConnection> idle = mIdle.get(connection.endpoint());
        if (idle != null) {
            idle.remove(connection);
        }
    }

    private static String hostHeader(EndpointRegistration endpoint, OutgoingRequest request) {
        String original = request.headers().get(HttpHeaderNames.HOST);
        return original == null ? endpoint.host() + ":" + endpoint.port() : original;
    }

    private EndpointConnection takeIdle(String endpoint, boolean repeatable) {
        ArrayDeque<EndpointConnection> idle = mIdle.get(endpoint);
        long now = nowMillis();
        while (idle != null && !idle.isEmpty()) {
            EndpointConnection connection = idle.removeFirst();
            boolean fresh =
                    repeatable || connection.idleMillis(now) < NON_REPEATABLE_MAX_IDLE_MILLIS;
            if (connection.usable(now) && fresh) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    private void open(EndpointRegistration endpoint, EndpointCall call) {
        EndpointConnection connection =
                new EndpointConnection(this, endpoint.name(), mRequestIdHeader);
        mBootstrap
                .clone()
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.pipeline()
                                        .addLast(new ReceivedBytesMeter(connection))
                                        .addLast(
                                                new HttpClientCodec(
                                                        MAX_LINE_BYTES,
                                                        MAX_HEAD_BYTES,
                                                        MAX_CHUNK_BYTES))
                                        .addLast(connection);
                            }
                        })
                .connect(endpoint.host(), endpoint.port())
                .addListener((ChannelFuture future) -> opened(future, connection, call));
    }

    /**
     * Checks whether an endpoint accepts connections.
     *
     * @param endpoint the endpoint
     * @param receiver receives the result
     */
    public void probe(EndpointRegistration endpoint, Consumer<ProbeResult> receiver) {
        mBootstrap
                .clone()
                .handler(new ChannelInboundHandlerAdapter())
                .connect(endpoint.host(), endpoint.port())
                .addListener(
                        (ChannelFuture future) -> {
                            if (future.isSuccess()) {
                                future.channel().close();
                                receiver.accept(ProbeResult.OPEN);
                            } else {
                                boolean timedOut =
                                        future.cause() instanceof ConnectTimeoutException;
                                receiver.accept(
                                        timedOut ? ProbeResult.SILENT : ProbeResult.REFUSED);
                            }
                        });
    }

    private static void opened(
            ChannelFuture future, EndpointConnection connection, EndpointCall call) {
        if (!future.isSuccess()) {
            boolean timedOut = future.cause() instanceof ConnectTimeoutException;
            call.fail(timedOut ? CallFailure.SILENT : CallFailure.NOT_CONNECTED);
        } else if (call.ended()) {
            future.channel().close();
        } else {
            connection.send(call, future.channel());
        }
    }
}
