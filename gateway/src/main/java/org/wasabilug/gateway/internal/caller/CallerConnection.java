package org.wasabilug.gateway.internal.caller;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
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

/**
 * One connection of a caller: receives complete requests and passes them on one at a time.
 *
 * <p>It keeps reading while a request is served, as only a read detects that the caller
 * disconnected.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final int MAX_PIPELINED_REQUESTS = 16;

    private final CallerListener mListener;
    private final ArrayDeque<CallerExchange> mComplete = new ArrayDeque<>();
    private Channel mChannel;
    private CallerExchange mReceiving;
    private CallerExchange mServing;
    private HttpResponseStatus mRefusal;
    private boolean mClosing;
    private long mLastActivityMillis;

    CallerConnection(CallerListener listener) {
        mListener = listener;
    }

    Channel channel() {
        return mChannel;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mChannel = context.channel();
        mLastActivityMillis = mListener.nowMillis();
        mListener.opened(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (mClosing || mRefusal != null) {
            return;
        }
        mLastActivityMillis = mListener.nowMillis();
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
        mReceiving = new CallerExchange(this, head, mListener.nowMillis());
        int maximum = mListener.limits().bodyBytes();
        if (HttpUtil.isContentLengthSet(head) && HttpUtil.getContentLength(head, 0L) > maximum) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (HttpUtil.is100ContinueExpected(head) && mServing == null) {
            mChannel.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void contentReceived(HttpContent content) {
        mReceiving.receive(content.content());
        if (mReceiving.receivedBytes() > mListener.limits().bodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (content instanceof LastHttpContent) {
            mReceiving.bodyComplete();
            mComplete.add(mReceiving);
            mReceiving = null;
            if (mComplete.size() > MAX_PIPELINED_REQUESTS) {
                mChannel.config().setAutoRead(false);
            }
            // After the read, which may find that the caller has already left: this process may
            // have been starting or paused since the request was sent.
            mChannel.eventLoop().execute(this::serveNext);
        }
    }

    private void serveNext() {
        if (mServing != null || mClosing || !mChannel.isActive()) {
            return;
        }
        if (!mComplete.isEmpty()) {
            mServing = mComplete.removeFirst();
            mChannel.config().setAutoRead(true);
            mListener.received(mServing);
        } else if (mRefusal != null) {
            sendRefusal();
        }
    }

    /** Writes the last part of a response. */
    void write(Object message, boolean keepOpen) {
        mLastActivityMillis = mListener.nowMillis();
        mServing = null;
        if (keepOpen) {
            mChannel.writeAndFlush(message);
            serveNext();
        } else {
            mClosing = true;
            reportUnanswered("the connection ends with the response before");
            CallerExchange.closeAfter(mChannel, message);
        }
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

    /** Closes a connection that is idle for too long, or whose request does not arrive in time. */
    void enforceTimeouts(long nowMillis, long maxIdleMillis, long headerTimeoutMillis) {
        long inactiveMillis = nowMillis - mLastActivityMillis;
        if (idle() && inactiveMillis > maxIdleMillis) {
            mChannel.close();
        } else if (mReceiving != null && mServing == null && inactiveMillis > headerTimeoutMillis) {
            refuse(HttpResponseStatus.REQUEST_TIMEOUT);
        }
    }

    /** Ends the request that is being served, as this process ends. */
    void endRequest() {
        if (mServing != null) {
            mServing.stopped();
        }
    }

    /** Refuses a request that can't be received, once all before it have their responses. */
    private void refuse(HttpResponseStatus status) {
        mReceiving = null;
        mRefusal = status;
        serveNext();
    }

    private void sendRefusal() {
        mClosing = true;
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, mRefusal);
        response.headers().set(new DefaultHttpHeaders().set("Connection", "close"));
        response.headers().set("Content-Length", 0);
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
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mServing != null) {
            mServing.writabilityChanged();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mListener.closed(this);
        if (mServing != null) {
            mServing.callerDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        reportUnanswered(String.valueOf(cause));
        context.close();
    }
}
