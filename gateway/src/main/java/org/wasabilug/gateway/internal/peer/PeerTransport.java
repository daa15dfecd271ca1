package org.wasabilug.gateway.internal.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.wasabilug.messages.gateway.GatewayEnvelope;

/** Carries messages over TCP: each instance sends on the connections that it has opened. */
final class PeerTransport {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final EventLoopGroup mLoops;
    private final Consumer<GatewayEnvelope> mReceiver;
    private Channel mServer;

    PeerTransport(EventLoopGroup loops, Consumer<GatewayEnvelope> receiver) {
        mLoops = loops;
        mReceiver = receiver;
    }

    void listen(InetSocketAddress address) throws InterruptedException {
        mServer =
                new ServerBootstrap()
                        .group(mLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.SO_KEEPALIVE, true)
                        .childHandler(new CodecInitializer())
                        .bind(address)
                        .sync()
                        .channel();
    }

    void connect(String host, int port, Consumer<Channel> connected, Runnable failed) {
        new Bootstrap()
                .group(mLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new CodecInitializer())
                .connect(host, port)
                .addListener(
                        (io.netty.channel.ChannelFuture future) -> {
                            if (future.isSuccess()) {
                                connected.accept(future.channel());
                            } else {
                                failed.run();
                            }
                        });
    }

    void close() {
        if (mServer != null) {
            mServer.close();
        }
    }

    /** Puts the codec of messages in place. */
    private final class CodecInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(new ProtobufVarint32FrameDecoder())
                    .addLast(new ProtobufDecoder(GatewayEnvelope.getDefaultInstance()))
                    .addLast(new ProtobufVarint32LengthFieldPrepender())
                    .addLast(new ProtobufEncoder())
                    .addLast(new Reader());
        }
    }

    /** Hands on messages. */
    private final class Reader extends SimpleChannelInboundHandler<GatewayEnvelope> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, GatewayEnvelope envelope) {
            mReceiver.accept(envelope);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
