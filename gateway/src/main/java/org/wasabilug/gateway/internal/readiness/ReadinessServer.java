package org.wasabilug.gateway.internal.readiness;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

/** HTTP server for metrics and for readiness checks, which it answers with 200 or 503. */
public final class ReadinessServer {
    private static final int MAX_REQUEST_BYTES = 8_192;
    private static final String METRICS_PATH = "/metrics";
    private static final String EXPLAIN_PREFIX = "/explain?";

    private final String mReadinessPath;
    private final BooleanSupplier mReady;
    private final Supplier<String> mMetrics;
    private final UnaryOperator<String> mExplain;
    private final Limits mLimits;
    private final LinkedHashSet<RequestHandler> mConnections = new LinkedHashSet<>();
    private Channel mServer;

    /**
     * Limits of the connections.
     *
     * @param connections maximum number of connections
     * @param idleMillis time in milliseconds after which a connection without a complete request is
     *     closed
     * @param clockMillis monotonic clock in milliseconds
     * @param limited called when a limit acts
     */
    public record Limits(
            int connections, LongSupplier idleMillis, LongSupplier clockMillis, Runnable limited) {}

    /**
     * Creates a server that is not listening yet.
     *
     * @param readinessPath path of readiness checks
     * @param ready whether the instance accepts requests
     * @param metrics returns the metrics as text
     * @param explain returns for a path with a query where a request would go, as JSON
     * @param limits limits of the connections
     */
    public ReadinessServer(
            String readinessPath,
            BooleanSupplier ready,
            Supplier<String> metrics,
            UnaryOperator<String> explain,
            Limits limits) {
        mReadinessPath = readinessPath;
        mReady = ready;
        mMetrics = metrics;
        mExplain = explain;
        mLimits = limits;
    }

    /**
     * Starts to listen.
     *
     * @param loops event loop
     * @param address address to bind
     * @throws InterruptedException if interrupted while binding
     */
    public void listen(EventLoopGroup loops, InetSocketAddress address)
            throws InterruptedException {
        mServer =
                new ServerBootstrap()
                        .group(loops)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(new HttpServerCodec())
                                                .addLast(
                                                        new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                                .addLast(new RequestHandler());
                                    }
                                })
                        .bind(address)
                        .sync()
                        .channel();
    }

    /** Stops listening. */
    public void close() {
        if (mServer != null) {
            mServer.close();
        }
    }

    /** Closes connections without a complete request; to be called several times a second. */
    public void closeUnused() {
        long until = mLimits.clockMillis().getAsLong() - mLimits.idleMillis().getAsLong();
        while (!mConnections.isEmpty() && mConnections.getFirst().mUsedMillis < until) {
            mConnections.getFirst().end();
        }
    }

    /** One connection; those that were used least recently are the first in the set. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private Channel mChannel;
        private long mUsedMillis;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            mChannel = context.channel();
            if (mConnections.size() >= mLimits.connections()) {
                mLimits.limited().run();
                mConnections.getFirst().end();
            }
            used();
        }

        private void used() {
            mUsedMillis = mLimits.clockMillis().getAsLong();
            mConnections.remove(this);
            mConnections.add(this);
        }

        private void end() {
            mConnections.remove(this);
            mChannel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mConnections.remove(this);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (!mChannel.isActive()) {
                return;
            }
            if (!mChannel.isWritable()) {
                // Responses that are not read would add up.
                mLimits.limited().run();
                end();
                return;
            }
            used();
            DefaultFullHttpResponse response = response(request.uri());
            response.headers().set("Content-Length", response.content().readableBytes());
            boolean keep = HttpUtil.isKeepAlive(request);
            HttpUtil.setKeepAlive(response, keep);
            var written = context.writeAndFlush(response);
            if (!keep) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private DefaultFullHttpResponse response(String target) {
        if (target.equals(METRICS_PATH)) {
            return text(HttpResponseStatus.OK, mMetrics.get());
        }
        if (target.startsWith(EXPLAIN_PREFIX)) {
            DefaultFullHttpResponse explained =
                    text(HttpResponseStatus.OK, mExplain.apply(target) + "\n");
            explained.headers().set("Content-Type", "application/json");
            return explained;
        }
        if (!target.equals(mReadinessPath)) {
            return text(HttpResponseStatus.NOT_FOUND, "");
        }
        return mReady.getAsBoolean()
                ? text(HttpResponseStatus.OK, "ready\n")
                : text(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
    }

    private static DefaultFullHttpResponse text(HttpResponseStatus status, String body) {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    }
}
