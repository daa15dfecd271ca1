package org.wasabilug.gateway.internal.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.concurrent.TimeUnit;
import org.wasabilug.messages.gateway.RelayRequest;

/** Reads the one request of a connection; closes the connection if anything else arrives on it. */
final class RelayRequestReader extends SimpleChannelInboundHandler<RelayRequest> {
    private static final long TIMEOUT_MILLIS = 1_000;

    private final Receiver mReceiver;
    private boolean mReceived;
    private boolean mClosed;

    RelayRequestReader(Receiver receiver) {
        mReceiver = receiver;
    }

    /** Receives what has arrived on a connection. */
    interface Receiver {
        /** Called when the request has arrived. */
        void received(Channel asking, RelayRequest request);

        /** Called when a connection is closed because its bytes are of no use. */
        void rejected(Channel asking, String reason);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        context.executor().schedule(() -> expire(context), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void expire(ChannelHandlerContext context) {
        if (!mReceived && context.channel().isActive()) {
            reject(context, "no request");
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, RelayRequest request) {
        if (mReceived) {
            reject(context, "a second request");
            return;
        }
        mReceived = true;
        mReceiver.received(context.channel(), request);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        reject(context, cause.toString());
    }

    private void reject(ChannelHandlerContext context, String reason) {
        if (!mClosed) {
            mClosed = true;
            mReceiver.rejected(context.channel(), reason);
            context.close();
        }
    }
}
