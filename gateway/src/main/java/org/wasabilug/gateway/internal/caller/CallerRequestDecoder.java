package org.wasabilug.gateway.internal.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.Queue;
import java.util.function.Supplier;
import org.wasabilug.serving.CallerLimits;

/**
 * Decodes the requests of one connection. The limits that are active when the first line of a head
 * is complete apply to that head.
 */
final class CallerRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_CHUNK_BYTES = 65_536;

    /** Read ahead of a request that waits, so that the end of the connection is still seen. */
    private static final int MAX_AHEAD_BYTES = 16_384;

    /**
     * Other connections have their turn after so many parts, so that tiny chunks don't delay them.
     */
    private static final int MAX_DECODED_AT_ONCE = 512;

    private final Supplier<CallerLimits> mLimits;
    private final Queue<HttpMethod> mMethods;
    private final int mHeaderBytes;
    private final CallerInput mInput;
    private boolean mInsideRequest;
    private int mDecodedAtOnce;

    /**
     * Creates a decoder.
     *
     * @param limits active limits
     * @param methods receives the method of each request, for the encoder of the responses
     * @param input counts what is received
     */
    CallerRequestDecoder(
            Supplier<CallerLimits> limits, Queue<HttpMethod> methods, CallerInput input) {
        this(limits, methods, input, limits.get().headerBytes());
    }

    private CallerRequestDecoder(
            Supplier<CallerLimits> limits,
            Queue<HttpMethod> methods,
            CallerInput input,
            int headerBytes) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(headerBytes)
                        .setMaxHeaderSize(headerBytes)
                        .setMaxChunkSize(MAX_CHUNK_BYTES)
                        .setHeadersFactory(
                                new CountedHeaders.Factory(
                                        input, DefaultHttpHeadersFactory.headersFactory()))
                        .setTrailersFactory(
                                new CountedHeaders.Factory(
                                        input, DefaultHttpHeadersFactory.trailersFactory())));
        mInput = input;
        mLimits = limits;
        mMethods = methods;
        mHeaderBytes = headerBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        mDecodedAtOnce = 0;
        if (message instanceof ByteBuf bytes) {
            mInput.arrivals().arrived(internalBuffer().readableBytes() + bytes.readableBytes());
        }
        super.channelRead(context, message);
        if (context.isRemoved()) {
            // The replacement has received the rest and reported it.
            return;
        }
        ByteBuf buffer = internalBuffer();
        mInput.arrivals().decoded(buffer.readableBytes());
        mInput.partial(mInsideRequest || buffer.isReadable());
        if (mInput.held() && buffer.readableBytes() > MAX_AHEAD_BYTES) {
            context.channel().config().setAutoRead(false);
        } else if (mDecodedAtOnce >= MAX_DECODED_AT_ONCE && buffer.isReadable()) {
            context.channel().config().setAutoRead(false);
            context.executor().execute(() -> decodeRest(context.channel()));
        }
        if (!mInput.buffered(buffer.isReadable() ? buffer.capacity() : 0)) {
            context.fireExceptionCaught(new CallerLimitException(CallerLimit.MEMORY));
        }
    }

    /**
     * The superclass asks for another read here when nothing was decoded. While bytes are left
     * undecoded on purpose, that would read on without a bound.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        if (mInput.held() && !context.channel().config().isAutoRead()) {
            discardSomeReadBytes();
            context.fireChannelReadComplete();
        } else {
            super.channelReadComplete(context);
        }
    }

    private static void decodeRest(Channel channel) {
        channel.config().setAutoRead(true);
        channel.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        if (mInput.discarding()) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (mInput.held() || mDecodedAtOnce >= MAX_DECODED_AT_ONCE) {
            return;
        }
        if (!mInsideRequest && mLimits.get().headerBytes() != mHeaderBytes) {
            // The bytes that are not decoded yet go to the replacement.
            context.pipeline()
                    .replace(this, null, new CallerRequestDecoder(mLimits, mMethods, mInput));
            return;
        }
        int before = out.size();
        super.decode(context, in, out);
        mInput.arrivals().decoded(in.readableBytes());
        mDecodedAtOnce += out.size() - before;
        out.subList(before, out.size()).forEach(this::decoded);
    }

    private void decoded(Object message) {
        if (message instanceof HttpRequest request) {
            mMethods.add(request.method());
        }
        if (message instanceof LastHttpContent last && last.decoderResult().isSuccess()) {
            mInsideRequest = false;
        }
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        mInsideRequest = true;
        mInput.lineReceived(initialLine[1].length());
        return super.createMessage(initialLine);
    }

    /** Called for a request that can't be decoded; nothing after it is a request. */
    @Override
    protected HttpMessage createInvalidMessage() {
        mInsideRequest = true;
        return super.createInvalidMessage();
    }
}
