package org.wasabilug.gateway.internal.limit;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Closes connections of a listener that would be more than its share. */
@ChannelHandler.Sharable
public final class ConnectionBound extends ChannelInboundHandlerAdapter {
    private final int mMaximum;
    private final Runnable mLimited;
    private int mOpen;

    /**
     * Creates a bound of a listener without connections.
     *
     * @param maximum maximum number of open connections
     * @param limited called when a connection is closed
     */
    public ConnectionBound(int maximum, Runnable limited) {
        mMaximum = maximum;
        mLimited = limited;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) throws Exception {
        mOpen++;
        context.channel().closeFuture().addListener(closed -> mOpen--);
        if (mOpen > mMaximum) {
            mLimited.run();
            context.close();
        } else {
            super.channelActive(context);
        }
    }
}
