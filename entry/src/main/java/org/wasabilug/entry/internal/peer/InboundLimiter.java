package org.wasabilug.entry.internal.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.group.ChannelGroup;

/** Closes inbound connections beyond the allowed maximum. */
final class InboundLimiter extends ChannelInitializer<Channel> {
    private final ChannelGroup mInbound;
    private final PeerTransportLimits mLimits;
    private final PeerChannelInitializer mNext;

    InboundLimiter(ChannelGroup inbound, PeerTransportLimits limits, PeerChannelInitializer next) {
        mInbound = inbound;
        mLimits = limits;
        mNext = next;
    }

    @Override
    protected void initChannel(Channel channel) {
        if (mInbound.size() >= mLimits.maximumInboundConnections()) {
            channel.close();
        } else {
            mInbound.add(channel);
            channel.pipeline().addLast(mNext);
        }
    }
}
