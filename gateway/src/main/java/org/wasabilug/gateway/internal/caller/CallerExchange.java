package org.wasabilug.gateway.internal.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
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

/** One request of a caller and its response. */
public final class CallerExchange {
    private static final byte[] NO_BODY = {};
    private static final int LINGER_DISABLED = -1;

    private final CallerConnection mConnection;
    private final HttpRequest mHead;
    private final long mReceivedMillis;
    private final BodyBuffer mReceiving = new BodyBuffer(this::takeMemory);
    private byte[] mBody = NO_BODY;
    private long mMemoryBytes;
    private Runnable mOnClose = () -> {};
    private Runnable mOnStop = () -> {};
    private Runnable mOnWritabilityChange = () -> {};
    private boolean mResponseStarted;
    private boolean mChunked;
    private boolean mEnded;

    CallerExchange(CallerConnection connection, HttpRequest head, long receivedMillis) {
        mConnection = connection;
        mHead = head;
        mReceivedMillis = receivedMillis;
    }

    /** Returns method, target and headers. */
    public HttpRequest head() {
        return mHead;
    }

    /** Returns the complete body; empty if there is none. */
    public byte[] body() {
        return mBody;
    }

    /** Returns when the head arrived, in milliseconds of the monotonic clock. */
    public long receivedMillis() {
        return mReceivedMillis;
    }

    /**
     * Sets the action that runs if the caller disconnects before the response is complete.
     *
     * @param action the action
     */
    public void onClose(Runnable action) {
        mOnClose = action;
    }

    /**
     * Sets the action that ends the response if this process ends before it is complete.
     *
     * @param action the action
     */
    public void onStop(Runnable action) {
        mOnStop = action;
    }

    /**
     * Sets the action that runs when written parts have accumulated, or have been sent.
     *
     * @param action the action
     */
    public void onWritabilityChange(Runnable action) {
        mOnWritabilityChange = action;
    }

    /**
     * Returns whether a response can still be sent; false once it is complete or the caller has
     * disconnected.
     */
    public boolean open() {
        return !mEnded;
    }

    /** Returns whether a part of a response was sent; true after {@link #startStream}. */
    public boolean responseStarted() {
        return mResponseStarted;
    }

    /**
     * Sends a complete response.
     *
     * @param status status
     * @param headers headers, without hop-by-hop headers
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
     * Sends status and headers of a response whose body follows in parts.
     *
     * @param status status
     * @param headers headers, without hop-by-hop headers
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
            resetOnClose(true);
        }
        mConnection.channel().write(response);
    }

    /**
     * Sends a part of the body.
     *
     * @param content the part; ownership is transferred
     */
    public void write(ByteBuf content) {
        if (mEnded) {
            content.release();
            return;
        }
        mConnection.writePart(new DefaultHttpContent(content));
    }

    /** Completes the body. */
    public void finish() {
        if (mEnded) {
            return;
        }
        boolean keep = mChunked && mConnection.keepsAlive(mHead);
        if (!mChunked) {
            resetOnClose(false);
        }
        end();
        mConnection.write(LastHttpContent.EMPTY_LAST_CONTENT, keep);
    }

    /**
     * Sets whether the connection ends with a reset, also if this process ends. A caller takes any
     * other close for the end of a body without length and chunks.
     */
    private void resetOnClose(boolean reset) {
        mConnection
                .channel()
                .config()
                .setOption(ChannelOption.SO_LINGER, reset ? 0 : LINGER_DISABLED);
    }

    /** Closes the connection, so that the response can't be mistaken for complete. */
    public void abort() {
        if (!mEnded) {
            end();
            mConnection.channel().close();
        }
    }

    /** Returns whether the caller reads fast enough; false while too much is unsent. */
    public boolean writable() {
        return mConnection.writable();
    }

    /** Receives a part of the body; returns false if there is no memory for it. */
    boolean receive(ByteBuf content, int maximum) {
        return mReceiving.append(content, maximum);
    }

    /**
     * Takes more memory for the request until its response ends.
     *
     * @param bytes how much more, in bytes; negative to give back
     * @return false if there is not so much; nothing has changed then
     */
    public boolean takeMemory(long bytes) {
        boolean taken = mConnection.memory().add(bytes);
        mMemoryBytes += taken ? bytes : 0;
        return taken;
    }

    /** Counts memory that the connection has taken for the head. */
    void addMemory(long bytes) {
        mMemoryBytes += bytes;
    }

    long memoryBytes() {
        return mMemoryBytes;
    }

    void releaseMemory() {
        takeMemory(-mMemoryBytes);
    }

    int receivedBytes() {
        return mReceiving.size();
    }

    void bodyComplete() {
        mBody = mReceiving.complete();
    }

    void callerDisconnected() {
        if (!mEnded) {
            Runnable onClose = mOnClose;
            end();
            onClose.run();
        }
    }

    void writabilityChanged() {
        mOnWritabilityChange.run();
    }

    void stopped() {
        if (!mEnded) {
            mOnStop.run();
        }
    }

    /** Lets go of what serves the request, so that nothing of it outlives the response. */
    private void end() {
        mEnded = true;
        mOnClose = () -> {};
        mOnStop = () -> {};
        mOnWritabilityChange = () -> {};
    }

    private boolean setConnectionHeaders(HttpResponse response) {
        boolean keep = mConnection.keepsAlive(mHead);
        HttpUtil.setKeepAlive(response, keep);
        return keep;
    }

    /** Closes the connection once everything written was sent. */
    static void closeAfter(Channel channel, Object message) {
        channel.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE);
    }
}
