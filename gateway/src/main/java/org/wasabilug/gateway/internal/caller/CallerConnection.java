package org.wasabilug.gateway.internal.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.ArrayDeque;
import org.wasabilug.gateway.internal.limit.LeastUseful;
import org.wasabilug.gateway.internal.limit.MemoryBudget;
import org.wasabilug.gateway.internal.limit.OutputBudget;
import org.wasabilug.serving.CallerLimits;

/**
 * One connection of a caller: receives complete requests and passes them on one at a time.
 *
 * <p>It keeps reading while a request is served, as only a read detects that the caller
 * disconnected. While a further request waits, bytes are read a little ahead but not decoded.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject>
        implements LeastUseful.Candidate, MemoryBudget.Holder, OutputBudget.Holder {
    private static final String RETRY_AFTER_SECONDS = "1";

    private final CallerListener mListener;
    private final Channel mChannel;
    private final MemoryBudget.Account mMemory;
    private final OutputBudget.Account mOutput;
    private final CallerInput mInput;
    private final CallerTimes mTimes;
    private final ArrayDeque<CallerExchange> mComplete = new ArrayDeque<>();
    private CallerExchange mReceiving;
    private CallerExchange mServing;
    private HttpResponseStatus mRefusal;
    private boolean mClosing;
    private boolean mWritable = true;
    private boolean mSurplus;

    CallerConnection(CallerListener listener, Channel channel) {
        mListener = listener;
        mChannel = channel;
        mMemory = listener.memory().open(this);
        mOutput = listener.output().open(this);
        mInput = new CallerInput(listener.settings().maxFields(), mMemory, listener::nowMillis);
        mTimes = new CallerTimes(listener.settings().minBytesPerSecond(), listener.timerMillis());
    }

    Channel channel() {
        return mChannel;
    }

    CallerInput input() {
        return mInput;
    }

    MemoryBudget.Account memory() {
        return mMemory;
    }

    /** Marks a connection beyond the maximum, whose first request is refused. */
    void markSurplus() {
        mSurplus = true;
    }

    /** Returns whether the connection is beyond the maximum. */
    boolean surplus() {
        return mSurplus;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mListener.opened(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (mClosing || mRefusal != null) {
            return;
        }
        if (message.decoderResult().cause() instanceof CallerLimitException exceeded) {
            refuse(exceeded.limit());
            return;
        }
        if (message.decoderResult().isFailure()) {
            refuse(statusOf(message.decoderResult()));
            return;
        }
        if (message instanceof HttpRequest head) {
            headReceived(head);
        }
        if (message instanceof HttpContent content && mReceiving != null) {
            contentReceived(content);
        }
    }

    private void headReceived(HttpRequest head) {
        mReceiving = new CallerExchange(this, head, mInput.arrivals().decodedMillis());
        mReceiving.addMemory(mInput.takeHeadBytes());
        mTimes.headReceived(mListener.timerMillis());
        mSurplus = mSurplus && mListener.full();
        int maximum = mListener.limits().bodyBytes();
        if (mSurplus) {
            refuse(CallerLimit.CONNECTIONS.status());
        } else if (HttpUtil.isContentLengthSet(head)
                && HttpUtil.getContentLength(head, 0L) > maximum) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (HttpUtil.is100ContinueExpected(head) && mServing == null) {
            mChannel.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void contentReceived(HttpContent content) {
        int maximum = mListener.limits().bodyBytes();
        int size = mReceiving.receivedBytes() + content.content().readableBytes();
        if (size > maximum) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        long length = HttpUtil.getContentLength(mReceiving.head(), (long) maximum);
        if (!mReceiving.receive(content.content(), (int) Math.min(length, maximum))) {
            refuse(CallerLimit.MEMORY);
            return;
        }
        mTimes.bodyReceived(size, mListener.timerMillis());
        if (content instanceof LastHttpContent) {
            mReceiving.addMemory(mInput.takeHeadBytes());
            mReceiving.bodyComplete();
            mComplete.add(mReceiving);
            mReceiving = null;
            mInput.hold(true);
            // After the read, which may find that the caller has already left: this process may
            // have been starting or paused since the request was sent.
            mChannel.eventLoop().execute(this::serveNext);
        }
    }

    private void serveNext() {
        // What a caller has not read of the responses before counts as memory of this process.
        boolean unread = !mChannel.isWritable() && !mComplete.isEmpty();
        if (mServing != null || mClosing || unread || !mChannel.isActive()) {
            return;
        }
        if (!mComplete.isEmpty()) {
            mServing = mComplete.removeFirst();
            decodeNext();
            mListener.received(mServing);
        } else if (mRefusal != null) {
            sendRefusal();
        }
    }

    /** Decodes one request ahead, so that it is known whether one waits. */
    private void decodeNext() {
        if (!mComplete.isEmpty()) {
            return;
        }
        mInput.hold(false);
        mChannel.config().setAutoRead(true);
        mChannel.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
    }

    /** Writes a part of a response that is not the last. */
    void writePart(Object message) {
        mChannel.writeAndFlush(message);
        written();
    }

    private void written() {
        mOutput.update();
        reportWritability();
    }

    /** Returns what was last reported, so that each change is reported exactly once. */
    boolean writable() {
        return mWritable;
    }

    private boolean mayWrite() {
        return mChannel.isWritable() || mOutput.mayReadAhead();
    }

    private void reportWritability() {
        if (mServing != null && mayWrite() != mWritable) {
            mWritable = !mWritable;
            mServing.writabilityChanged();
        }
    }

    /** Writes the last part of a response. */
    void write(Object message, boolean keepOpen) {
        mTimes.active(mListener.timerMillis());
        mServing.releaseMemory();
        mServing = null;
        mWritable = true;
        if (keepOpen) {
            mChannel.writeAndFlush(message);
            mChannel.eventLoop().execute(this::serveNext);
        } else {
            mClosing = true;
            mInput.discard();
            reportUnanswered("the connection ends with the response before");
            CallerExchange.closeAfter(mChannel, message);
        }
        written();
    }

    /**
     * Returns whether the connection stays open; not while stopping, unless requests wait on it.
     */
    boolean keepsAlive(HttpRequest head) {
        return HttpUtil.isKeepAlive(head) && (!mListener.stopping() || !mComplete.isEmpty());
    }

    boolean idle() {
        return mServing == null && mComplete.isEmpty() && mReceiving == null;
    }

    /** Returns whether a response or refusal is still to be sent. */
    boolean answering() {
        return unsentBytes() > 0 || mRefusal != null && !mClosing;
    }

    /** Closes a connection that is idle for too long, or whose request does not arrive in time. */
    void enforceTimeouts(long nowMillis, CallerLimits limits) {
        boolean heading = mServing == null && mReceiving == null && mComplete.isEmpty();
        mTimes.check(nowMillis, heading && mInput.partial(), unsentBytes());
        reportWritability();
        if (mRefusal == null && !mClosing && mServing == null) {
            refuseLate(nowMillis, heading, limits.headerMillis());
        }
        if (mServing == null && mTimes.unread(nowMillis, limits.idleMillis())) {
            mListener.limited(CallerLimit.OUTPUT);
            mChannel.close();
        } else if (idle() && mTimes.inactive(nowMillis, limits.idleMillis())) {
            mChannel.close();
        }
    }

    private void refuseLate(long nowMillis, boolean heading, long maxMillis) {
        if (heading && mTimes.headLate(nowMillis, maxMillis)) {
            refuse(CallerLimit.HEADER_TIME);
        } else if (mReceiving != null && mTimes.bodyLate(nowMillis, maxMillis)) {
            refuse(CallerLimit.BODY_RATE);
        }
    }

    /** Ends the request that is being served, as this process ends. */
    void endRequest() {
        if (mServing != null) {
            mServing.stopped();
        }
    }

    private void refuse(CallerLimit limit) {
        mListener.limited(limit);
        refuse(limit.status());
    }

    /** Refuses a request that can't be received, once all before it have their responses. */
    private void refuse(HttpResponseStatus status) {
        mInput.discard();
        if (mReceiving != null) {
            mReceiving.releaseMemory();
            mReceiving = null;
        }
        mRefusal = status;
        mChannel.config().setAutoRead(true);
        mChannel.eventLoop().execute(this::serveNext);
    }

    private void sendRefusal() {
        mClosing = true;
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, mRefusal);
        response.headers().set(new DefaultHttpHeaders().set("Connection", "close"));
        response.headers().set("Content-Length", 0);
        if (mRefusal.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            response.headers().set("Retry-After", RETRY_AFTER_SECONDS);
        }
        CallerExchange.closeAfter(mChannel, response);
        mListener.refused(mRefusal);
    }

    /** Reports the whole requests that get no response, as the connection is closed. */
    private void reportUnanswered(String reason) {
        int requests = mComplete.size() + (mServing == null ? 0 : 1);
        if (requests > 0) {
            mListener.unanswered(reason, requests);
        }
    }

    private static HttpResponseStatus statusOf(DecoderResult result) {
        boolean tooLong =
                result.cause() instanceof TooLongHttpHeaderException
                        || result.cause() instanceof TooLongHttpLineException;
        return tooLong
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST;
    }

    @Override
    public LeastUseful.Use use() {
        if (mServing != null || !mComplete.isEmpty()) {
            return LeastUseful.Use.SERVING;
        }
        if (mReceiving != null) {
            return LeastUseful.Use.RECEIVING;
        }
        return unsentBytes() > 0 ? LeastUseful.Use.UNREAD : LeastUseful.Use.WAITING;
    }

    @Override
    public long sinceMillis() {
        return mTimes.sinceMillis();
    }

    @Override
    public long reclaimableBytes() {
        return mMemory.bytes() - (mServing == null ? 0 : mServing.memoryBytes());
    }

    @Override
    public long progressMillis() {
        return mTimes.sinceMillis();
    }

    @Override
    public void reclaim() {
        mComplete.forEach(CallerExchange::releaseMemory);
        mComplete.clear();
        refuse(CallerLimit.MEMORY);
    }

    @Override
    public long unsentBytes() {
        ChannelOutboundBuffer buffer = mChannel.unsafe().outboundBuffer();
        // The total falls only when a whole part of a response is sent.
        return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
    }

    @Override
    public void closeUnread() {
        mListener.limited(CallerLimit.OUTPUT);
        mChannel.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        mOutput.update();
        reportWritability();
        if (mChannel.isWritable() && mServing == null) {
            mChannel.eventLoop().execute(this::serveNext);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mListener.closed(this);
        mMemory.close();
        mOutput.close();
        if (mServing != null) {
            mServing.callerDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof CallerLimitException exceeded) {
            if (mRefusal == null && !mClosing) {
                refuse(exceeded.limit());
            }
            return;
        }
        reportUnanswered(String.valueOf(cause));
        context.close();
    }
}
