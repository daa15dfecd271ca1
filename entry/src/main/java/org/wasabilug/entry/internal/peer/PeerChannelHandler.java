package org.wasabilug.entry.internal.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wasabilug.error.WasabilugException;
import org.wasabilug.messages.PeerEnvelope;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.PeerMessage;

/** Handles the messages of one connection and closes the connection after an invalid one. */
final class PeerChannelHandler extends SimpleChannelInboundHandler<PeerEnvelope> {
    private static final Logger LOGGER = LogManager.getLogger(PeerChannelHandler.class);

    private final ReplyChannels mReplyChannels;
    private final PeerReceiver mReceiver;
    private final TransportCounters mCounters;

    PeerChannelHandler(
            ReplyChannels replyChannels, PeerReceiver receiver, TransportCounters counters) {
        mReplyChannels = replyChannels;
        mReceiver = receiver;
        mCounters = counters;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerEnvelope envelope) {
        InstanceName sender;
        Optional<PeerMessage> message;
        try {
            sender = new InstanceName(envelope.getSender());
            message = PeerMessageCodec.decode(envelope);
        } catch (WasabilugException invalid) {
            closeInvalid(context, invalid);
            return;
        }
        mCounters.received();
        mReplyChannels.update(sender, context.channel());
        message.ifPresent(present -> mReceiver.receive(sender, present));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event instanceof IdleStateEvent) {
            context.close();
        } else {
            super.userEventTriggered(context, event);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mReplyChannels.remove(context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        closeInvalid(context, cause);
    }

    private void closeInvalid(ChannelHandlerContext context, Throwable cause) {
        mCounters.connectionClosedAfterError();
        LOGGER.warn(
                "Closed the connection to peer {} after an error: {}",
                context.channel().remoteAddress(),
                cause.getMessage());
        context.close();
    }
}
