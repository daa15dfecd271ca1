package org.wasabilug.gateway.internal.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.internal.endpoint.ConnectionRouter.Relay;
import org.wasabilug.messages.gateway.RelayReply;
import org.wasabilug.messages.gateway.RelayRequest;
import org.wasabilug.serving.EndpointRegistration;

/** Opens connections to endpoints through other instances. */
public final class RelayConnector {
    /** Longer than a relay waits for the endpoint and then for others in its domain. */
    private static final long REPLY_TIMEOUT_MILLIS = 1_000;

    private static final long LATE_MILLIS = REPLY_TIMEOUT_MILLIS / 4;

    private final Bootstrap mBootstrap;
    private final String mLocalName;

    /**
     * Creates a connector.
     *
     * @param bootstrap event loop and options of the connections
     * @param localName name of this instance
     */
    public RelayConnector(Bootstrap bootstrap, String localName) {
        mBootstrap = bootstrap;
        mLocalName = localName;
    }

    /** Receives the result of one attempt. */
    public interface Receiver {
        /** Called if the relay is late; the result still follows. */
        default void late() {}

        /**
         * Called when the connection reaches the endpoint.
         *
         * @param channel the connection, without any handler
         */
        void opened(Channel channel);

        /**
         * Called when there is no connection to the endpoint; nothing was sent to it.
         *
         * @param status the reason; {@link RelayReply.Status#UNKNOWN} if the relay has told none
         */
        void failed(RelayReply.Status status);
    }

    /**
     * Opens a connection.
     *
     * @param relay instance that relays it
     * @param endpoint the endpoint
     * @param request id of the request for which it is opened; may be empty
     * @param receiver receives the result
     */
    public void open(
            Relay relay, EndpointRegistration endpoint, String request, Receiver receiver) {
        Handshake handshake = new Handshake(receiver);
        RelayRequest message =
                RelayRequest.newBuilder()
                        .setSender(mLocalName)
                        .setEndpoint(endpoint.name())
                        .setRequest(request)
                        .build();
        mBootstrap
                .clone()
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                RelayFraming.install(
                                        channel.pipeline(), RelayReply.getDefaultInstance());
                                channel.pipeline().addLast(handshake);
                                channel.eventLoop()
                                        .schedule(
                                                handshake::late,
                                                LATE_MILLIS,
                                                TimeUnit.MILLISECONDS);
                            }
                        })
                .connect(relay.address())
                .addListener((ChannelFuture future) -> connected(future, handshake, message));
    }

    private static void connected(ChannelFuture future, Handshake handshake, RelayRequest message) {
        if (!future.isSuccess()) {
            handshake.fail(RelayReply.Status.UNKNOWN);
            return;
        }
        Channel channel = future.channel();
        channel.writeAndFlush(message);
        channel.eventLoop()
                .schedule(
                        () -> handshake.expire(channel),
                        REPLY_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Waits for the reply of the relay, then hands the connection over. */
    private static final class Handshake extends SimpleChannelInboundHandler<RelayReply> {
        private final Receiver mReceiver;
        private boolean mDone;

        Handshake(Receiver receiver) {
            mReceiver = receiver;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, RelayReply reply) {
            if (reply.getStatus() != RelayReply.Status.OPENED) {
                fail(reply.getStatus());
                context.close();
            } else if (!mDone) {
                mDone = true;
                context.pipeline().remove(this);
                RelayFraming.removeEncoder(context.pipeline());
                mReceiver.opened(context.channel());
                RelayFraming.removeDecoder(context.pipeline());
            }
        }

        private void late() {
            if (!mDone) {
                mReceiver.late();
            }
        }

        private void expire(Channel channel) {
            if (!mDone) {
                fail(RelayReply.Status.UNKNOWN);
                channel.close();
            }
        }

        private void fail(RelayReply.Status status) {
            if (!mDone) {
                mDone = true;
                mReceiver.failed(status);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail(RelayReply.Status.UNKNOWN);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(RelayReply.Status.UNKNOWN);
            context.close();
        }
    }
}
