package org.wasabilug.entry.internal.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.handler.timeout.WriteTimeoutHandler;
import java.util.Optional;
import java.util.function.Supplier;
import org.wasabilug.messages.PeerEnvelope;

/** Sets up the pipeline of one connection: TLS, time-outs, framing and protobuf. */
final class PeerChannelInitializer extends ChannelInitializer<Channel> {
    private static final int IDLE_TIMEOUT_SECONDS = 120;

    private final PeerTransportLimits mLimits;
    private final Optional<SslContext> mEncryption;
    private final Supplier<PeerChannelHandler> mHandlers;

    PeerChannelInitializer(
            PeerTransportLimits limits,
            Optional<SslContext> encryption,
            Supplier<PeerChannelHandler> handlers) {
        mLimits = limits;
        mEncryption = encryption;
        mHandlers = handlers;
    }

    @Override
    protected void initChannel(Channel channel) {
        ChannelPipeline pipeline = channel.pipeline();
        mEncryption.ifPresent(context -> pipeline.addLast(context.newHandler(channel.alloc())));
        pipeline.addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_SECONDS));
        pipeline.addLast(new WriteTimeoutHandler(mLimits.writeTimeoutSeconds()));
        pipeline.addLast(new ProtobufVarint32FrameDecoder(mLimits.maximumFrameBytes()));
        pipeline.addLast(new ProtobufDecoder(PeerEnvelope.getDefaultInstance()));
        pipeline.addLast(new ProtobufVarint32LengthFieldPrepender());
        pipeline.addLast(new ProtobufEncoder());
        pipeline.addLast(mHandlers.get());
    }
}
