package org.wasabilug.gateway.internal.relay;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Forwards the bytes of one connection to another and reads no faster than the other one takes
 * them.
 *
 * <p>Each connection of a pair ends as the other one did: closed after all bytes, or reset. A
 * reader could take any other end for the end of a response without a length, so connections are
 * reset too if this process ends.
 */
final class ByteForwarder extends ChannelInboundHandlerAdapter {
    private static final int LINGER_DISABLED = -1;

    private final Channel mTo;
    private boolean mInputEnded;

    private ByteForwarder(Channel to) {
        mTo = to;
    }

    /** Forwards bytes between two connections in both directions. */
    static void join(Channel first, Channel second) {
        prepare(first);
        prepare(second);
        first.pipeline().addLast(new ByteForwarder(second));
        second.pipeline().addLast(new ByteForwarder(first));
    }

    /** Tells the end of input from other ends, and makes every end a reset until it is known. */
    private static void prepare(Channel channel) {
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        resetOnClose(channel, true);
    }

    private static void resetOnClose(Channel channel, boolean reset) {
        if (channel.isActive()) {
            channel.config().setOption(ChannelOption.SO_LINGER, reset ? 0 : LINGER_DISABLED);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        mTo.write(bytes);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        mTo.flush();
        context.channel().config().setAutoRead(mTo.isWritable());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        mTo.config().setAutoRead(context.channel().isWritable());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
            mInputEnded = true;
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (!mTo.isActive()) {
            return;
        }
        if (!mInputEnded) {
            mTo.close();
            return;
        }
        mTo.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> closeProperly(mTo));
    }

    /** Closes a connection to which all bytes have been written. */
    private static void closeProperly(Channel channel) {
        resetOnClose(channel, false);
        channel.close();
    }
}
