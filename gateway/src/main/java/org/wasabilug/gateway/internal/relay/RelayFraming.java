package org.wasabilug.gateway.internal.relay;

import com.google.protobuf.MessageLite;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import java.util.List;

/** Codec of the one message that each side sends before a connection carries other bytes. */
final class RelayFraming {
    private static final List<Class<? extends ChannelHandler>> HANDLERS =
            List.of(
                    ProtobufDecoder.class,
                    ProtobufVarint32LengthFieldPrepender.class,
                    ProtobufEncoder.class,
                    ProtobufVarint32FrameDecoder.class);

    private RelayFraming() {}

    /** Installs the codec at the end of a pipeline. */
    static void install(ChannelPipeline pipeline, MessageLite received) {
        pipeline.addLast(new ProtobufVarint32FrameDecoder())
                .addLast(new ProtobufDecoder(received))
                .addLast(new ProtobufVarint32LengthFieldPrepender())
                .addLast(new ProtobufEncoder());
    }

    /** Removes the codec; bytes that it has not decoded go to the handlers that remain. */
    static void remove(ChannelPipeline pipeline) {
        HANDLERS.forEach(pipeline::remove);
    }
}
