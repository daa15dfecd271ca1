package org.wasabilug.gateway.internal.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;

/** One request of a caller and the answer to it. */
public final class CallerExchange {
    private static final byte[] NO_BODY = {};

    private final CallerConnection mConnection;
    private final HttpRequest mHead;
    private final long mReceivedMillis;
    private ByteArrayOutputStream mReceiving = new ByteArrayOutputStream(0);
    private byte[] mBody = NO_BODY;
    private Runnable mOnClose = () -> {};
    private boolean mResponseStarted;
    private boolean mChunked;
    private boolean mEnded;

    CallerExchange(CallerConnection connection, HttpRequest head, long receivedMillis) {
        mConnection = connection;
        mHead = head;
        mReceivedMillis = receivedMillis;
    }

    /**
     * Gives method, target and headers.
     *
     * @return the head
     */
    public HttpRequest head() {
        return mHead;
    }

    /**
     * Gives the whole body.
     *
     * @return the body; empty where there is none
     */
    public byte[] body() {
        return mBody;
    }

    /**
     * Tells when the head came.
     *
     * @return milliseconds of the monotonic clock
     */
    public long receivedMillis() {
        return mReceivedMillis;
    }

    /**
     * Sets what is done when the caller leaves before the answer is complete.
     *
     * @param action the action
     */
    public void onClose(Runnable action) {
        mOnClose = action;
    }

    /**
     * Tells whether an answer can still be given.
     *
     * @return false once it is complete or the caller has left
     */
    public boolean open() {
        return !mEnded;
    }

    /**
     * Tells whether a part of an answer was given.
     *
     * @return true after {@link #startStream}
     */
    public boolean responseStarted() {
        return mResponseStarted;
    }

    /**
     * Gives a whole answer.
     *
     * @param status status
     * @param headers headers, without those of a single connection
     * @param body body
     */
    public void respond(HttpResponseStatus status, HttpHeaders headers, byte[] body) {
        if (mEnded) {
            return;
        }
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status,
                        Unpooled.wrappedBuffer(body),
                        headers,
                        EmptyHttpHeaders.INSTANCE);
        if (!head().method().name().equals("HEAD") || !headers.contains("Content-Length")) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        boolean keep = setConnectionHeaders(response);
        end();
        mConnection.write(response, keep);
    }

    /**
     * Gives status and headers of an answer whose body follows in parts.
     *
     * @param status status
     * @param headers headers, without those of a single connection
     */
    public void startStream(HttpResponseStatus status, HttpHeaders headers) {
        if (mEnded) {
            return;
        }
        mResponseStarted = true;
        mChunked = mHead.protocolVersion().isKeepAliveDefault();
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers);
        if (mChunked) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            setConnectionHeaders(response);
        } else {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        mConnection.channel().write(response);
    }

    /**
     * Gives a part of the body.
     *
     * @param content the part; taken over
     */
    public void write(ByteBuf content) {
        if (mEnded) {
            content.release();
            return;
        }
        mConnection.channel().writeAndFlush(new DefaultHttpContent(content));
    }

    /** Ends the body. */
    public void finish() {
        if (mEnded) {
            return;
        }
        boolean keep = mChunked && mConnection.keepsAlive(mHead);
        end();
        mConnection.write(LastHttpContent.EMPTY_LAST_CONTENT, keep);
    }

    /** Ends the connection, so that the answer can't be taken as complete. */
    public void abort() {
        if (!mEnded) {
            end();
            mConnection.channel().close();
        }
    }

    /**
     * Tells whether the caller reads fast enough.
     *
     * @return false while parts pile up
     */
    public boolean writable() {
        return mConnection.channel().isWritable();
    }

    void receive(ByteBuf content) {
        mReceiving.writeBytes(ByteBufUtil.getBytes(content));
    }

    int receivedBytes() {
        return mReceiving.size();
    }

    void bodyComplete() {
        mBody = mReceiving.size() == 0 ? NO_BODY : mReceiving.toByteArray();
        mReceiving = null;
    }

    void callerDisconnected() {
        if (!mEnded) {
            mEnded = true;
            mOnClose.run();
        }
    }

    private void end() {
        mEnded = true;
        mOnClose = () -> {};
    }

    private boolean setConnectionHeaders(HttpResponse response) {
        boolean keep = mConnection.keepsAlive(mHead);
        HttpUtil.setKeepAlive(response, keep);
        return keep;
    }

    /** Closes the connection once what was written is out. */
    static void closeAfter(Channel channel, Object message) {
        channel.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE);
    }
}
