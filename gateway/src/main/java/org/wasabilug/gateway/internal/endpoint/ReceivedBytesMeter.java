package org.wasabilug.gateway.internal.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Counts the bytes that arrive on a connection before they are decoded. */
final class ReceivedBytesMeter extends ChannelInboundHandlerAdapter {
    private final EndpointConnection mConnection;

    ReceivedBytesMeter(EndpointConnection connection) {
        mConnection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            mConnection.bytesReceived(bytes.readableBytes());
        }
        context.fireChannelRead(message);
    }
}
