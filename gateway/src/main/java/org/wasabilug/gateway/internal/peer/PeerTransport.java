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
import org.wasabilug.gateway.internal.limit.ConnectionBound;
import org.wasabilug.messages.gateway.GatewayEnvelope;

/** Transports messages over TCP; each instance sends on the connections that it opened. */
final class PeerTransport {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final EventLoopGroup mLoops;
    private final Consumer<GatewayEnvelope> mReceiver;
    private final ConnectionBound mBound;
    private Channel mServer;

    /**
     * Creates a transport that is not listening yet.
     *
     * @param loops event loop of all connections
     * @param receiver receives the messages
     * @param bound limits the connections of other instances to this one
     */
    PeerTransport(EventLoopGroup loops, Consumer<GatewayEnvelope> receiver, ConnectionBound bound) {
        mLoops = loops;
        mReceiver = receiver;
        mBound = bound;
    }

    void listen(InetSocketAddress address) throws InterruptedException {
        mServer =
                new ServerBootstrap()
                        .group(mLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.SO_KEEPALIVE, true)
                        .childHandler(new AcceptedInitializer())
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

    /** Installs the message codec on connections that other instances opened. */
    private final class AcceptedInitializer extends CodecInitializer {
        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline().addLast(mBound);
            super.initChannel(channel);
        }
    }

    /** Installs the message codec. */
    private class CodecInitializer extends ChannelInitializer<SocketChannel> {
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

    /** Passes messages to the receiver. */
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
