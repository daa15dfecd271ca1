package org.wasabilug.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import java.util.List;

/** Splits off messages with a length before them, and buffers no more than a message may have. */
final class RelayFrameDecoder extends ProtobufVarint32FrameDecoder {
    private static final int MAX_MESSAGE_BYTES = 4_096;

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages)
            throws Exception {
        super.decode(context, bytes, messages);
        if (messages.isEmpty() && bytes.readableBytes() > MAX_MESSAGE_BYTES) {
            throw new TooLongFrameException("message of over " + MAX_MESSAGE_BYTES + " bytes");
        }
    }
}
