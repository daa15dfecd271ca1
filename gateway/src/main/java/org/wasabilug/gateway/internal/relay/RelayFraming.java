package org.wasabilug.gateway.internal.relay;

import com.google.protobuf.MessageLite;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;

/** Codec of the one message that each side sends before a connection carries other bytes. */
final class RelayFraming {
    private RelayFraming() {}

    /** Installs the codec at the end of a pipeline. */
    static void install(ChannelPipeline pipeline, MessageLite received) {
        pipeline.addLast(new RelayFrameDecoder())
                .addLast(new ProtobufDecoder(received))
                .addLast(new ProtobufVarint32LengthFieldPrepender())
                .addLast(new ProtobufEncoder());
    }

    /** Removes the encoder, so that bytes are sent as they are. */
    static void removeEncoder(ChannelPipeline pipeline) {
        pipeline.remove(ProtobufEncoder.class);
        pipeline.remove(ProtobufVarint32LengthFieldPrepender.class);
    }

    /** Removes the decoder; bytes that it has not decoded go to the handlers that remain. */
    static void removeDecoder(ChannelPipeline pipeline) {
        pipeline.remove(ProtobufDecoder.class);
        pipeline.remove(RelayFrameDecoder.class);
    }
}
