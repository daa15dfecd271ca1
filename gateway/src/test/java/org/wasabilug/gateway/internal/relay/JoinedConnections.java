package org.wasabilug.gateway.internal.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** Two connections that a forwarder joins, with the sockets at their far ends. */
final class JoinedConnections implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 10_000;

    private final EventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<Channel> mAccepted = new LinkedBlockingQueue<>();
    private final InetSocketAddress mAddress;
    final Socket mAskingSocket;
    final Socket mEndpointSocket;
    final Channel mAsking;
    final Channel mEndpoint;

    JoinedConnections() throws IOException, InterruptedException {
        mAddress = listen();
        mAskingSocket = connect();
        mAsking = mAccepted.take();
        mEndpointSocket = connect();
        mEndpoint = mAccepted.take();
        run(() -> ByteForwarder.join(mAsking, mEndpoint));
    }

    private InetSocketAddress listen() throws InterruptedException {
        return (InetSocketAddress)
                new ServerBootstrap()
                        .group(mLoops)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(new ChannelInboundHandlerAdapter());
                                        mAccepted.add(channel);
                                    }
                                })
                        .bind("127.0.0.1", 0)
                        .sync()
                        .channel()
                        .localAddress();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(mAddress.getAddress(), mAddress.getPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    void run(Runnable action) {
        mLoops.submit(action).syncUninterruptibly();
    }

    /** Closes a connection as the operating system does if the process ends. */
    void endProcess() {
        run(
                () -> {
                    mAsking.unsafe().closeForcibly();
                    mEndpoint.unsafe().closeForcibly();
                });
    }

    /** Returns the bytes that wait to be written to a connection. */
    long pendingBytes(Channel channel) {
        return mLoops.submit(
                        () -> {
                            var buffer = channel.unsafe().outboundBuffer();
                            return buffer == null ? 0 : buffer.totalPendingWriteBytes();
                        })
                .syncUninterruptibly()
                .getNow();
    }

    @Override
    public void close() throws IOException {
        mAskingSocket.close();
        mEndpointSocket.close();
        mLoops.shutdownGracefully();
    }
}
