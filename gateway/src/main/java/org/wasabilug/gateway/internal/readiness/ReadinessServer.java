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
import java.util.function.BooleanSupplier;
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
    private Channel mServer;

    /**
     * Creates a server that is not listening yet.
     *
     * @param readinessPath path of readiness checks
     * @param ready whether the instance accepts requests
     * @param metrics returns the metrics as text
     * @param explain returns for a path with a query where a request would go, as JSON
     */
    public ReadinessServer(
            String readinessPath,
            BooleanSupplier ready,
            Supplier<String> metrics,
            UnaryOperator<String> explain) {
        mReadinessPath = readinessPath;
        mReady = ready;
        mMetrics = metrics;
        mExplain = explain;
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

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
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
