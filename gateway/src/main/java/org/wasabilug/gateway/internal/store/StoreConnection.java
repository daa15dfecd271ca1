package org.wasabilug.gateway.internal.store;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wasabilug.gateway.internal.endpoint.KeepAlive;

/** One connection to the store; one call at a time, each with a timeout. */
final class StoreConnection {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_ERA_DIGITS = 18;
    private static final int MAX_RESPONSE_BYTES = 16 * 1_024 * 1_024;

    private final EventLoopGroup mLoops;
    private final InetSocketAddress mStore;
    private final String mEraHeader;
    private Channel mChannel;
    private Consumer<StoreResponse> mReceiver;
    private ScheduledFuture<?> mTimeout;

    StoreConnection(StoreAccess store) {
        mLoops = store.loops();
        mStore = store.address();
        mEraHeader = store.protocol().eraHeader();
    }

    /** Sends a call. If it fails or times out, the receiver gets {@link StoreResponse#failed}. */
    void call(
            HttpMethod method,
            String target,
            byte[] body,
            long timeoutMillis,
            Consumer<StoreResponse> receiver) {
        mReceiver = receiver;
        mTimeout =
                mLoops.next().schedule(() -> fail("timeout"), timeoutMillis, TimeUnit.MILLISECONDS);
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, target, Unpooled.wrappedBuffer(body));
        request.headers()
                .set(HttpHeaderNames.HOST, mStore.getHostString() + ":" + mStore.getPort());
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (body.length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        }
        if (mChannel != null && mChannel.isActive()) {
            mChannel.writeAndFlush(request);
        } else {
            connect(request, receiver);
        }
    }

    private void connect(DefaultFullHttpRequest request, Consumer<StoreResponse> receiver) {
        Bootstrap bootstrap = new Bootstrap();
        // A connection that goes silent must be noticed before a long poll would end.
        KeepAlive.apply(bootstrap::option);
        bootstrap
                .group(mLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.pipeline()
                                        .addLast(new HttpClientCodec())
                                        .addLast(new HttpObjectAggregator(MAX_RESPONSE_BYTES))
                                        .addLast(new ResponseReader());
                            }
                        })
                .connect(mStore)
                .addListener(
                        (io.netty.channel.ChannelFuture future) -> {
                            if (mReceiver != receiver) {
                                // The call was given up while the connection was opened.
                                request.release();
                                future.channel().close();
                            } else if (!future.isSuccess()) {
                                request.release();
                                fail("connection to the store failed");
                            } else {
                                mChannel = future.channel();
                                mChannel.writeAndFlush(request);
                            }
                        });
    }

    private void deliver(StoreResponse response) {
        Consumer<StoreResponse> receiver = mReceiver;
        mReceiver = null;
        if (mTimeout != null) {
            mTimeout.cancel(false);
        }
        if (receiver != null) {
            receiver.accept(response);
        }
    }

    private void fail(String reason) {
        close();
        deliver(StoreResponse.failed(reason));
    }

    /** Gives up the call in progress, whose receiver is not called any more. */
    void abandon() {
        mReceiver = null;
        if (mTimeout != null) {
            mTimeout.cancel(false);
        }
        close();
    }

    void close() {
        if (mChannel != null) {
            mChannel.close();
            mChannel = null;
        }
    }

    /** Delivers complete responses of the current channel. */
    private final class ResponseReader extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (context.channel() != mChannel) {
                return;
            }
            if (response.decoderResult().isFailure()) {
                fail("unreadable response");
                return;
            }
            byte[] body = ByteBufUtil.getBytes(response.content());
            if (!HttpUtil.isKeepAlive(response)) {
                close();
            }
            deliver(new StoreResponse(response.status().code(), body, era(response), ""));
        }

        private OptionalLong era(FullHttpResponse response) {
            String value = response.headers().get(mEraHeader, "").trim();
            boolean number = !value.isEmpty() && value.length() <= MAX_ERA_DIGITS;
            return number && value.chars().allMatch(each -> each >= '0' && each <= '9')
                    ? OptionalLong.of(Long.parseLong(value))
                    : OptionalLong.empty();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (context.channel() == mChannel) {
                fail("connection closed");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (context.channel() == mChannel) {
                fail(String.valueOf(cause.getMessage()));
            }
        }
    }
}
