package org.wasabilug.gateway.internal.endpoint;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.wasabilug.gateway.internal.endpoint.ConnectionRouter.Relay;
import org.wasabilug.internal.serving.EndpointGroup;
import org.wasabilug.serving.EndpointRegistration;

/**
 * One connection to an endpoint; it carries one call at a time.
 *
 * <p>A response whose request id differs from that of the call belongs to an earlier call and is
 * ignored; a call without an id takes only a response without one. Bytes that arrive while no call
 * is in progress close the connection, and so do too many bytes of which none belongs to the
 * response.
 */
final class EndpointConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final long DEFAULT_MAX_IDLE_MILLIS = 4_000;
    private static final long IDLE_MARGIN_MILLIS = 500;
    private static final int MAX_UNUSABLE_BYTES = 1 << 20;

    /** How many of the last ids sent are remembered. */
    private static final int MAX_CARRIED_IDS = 64;

    private final EndpointConnections mOwner;
    private final EndpointRegistration mEndpoint;
    private final Optional<Relay> mRelay;
    private final String mRequestIdHeader;
    private final EndpointResponseDecoder mDecoder = new EndpointResponseDecoder(this::isToHead);
    private final Deque<String> mCarriedIds = new ArrayDeque<>();

    /** Those of them that are ids of HEAD requests. */
    private final Deque<String> mHeadIds = new ArrayDeque<>();

    private Channel mChannel;
    private EndpointCall mCall;

    /** The call whose response was the last to be complete. */
    private EndpointCall mAnsweredCall;

    private boolean mIgnoringResponse;
    private boolean mReusable = true;
    private boolean mWritten;
    private boolean mClosedHere;
    private long mMaxIdleMillis = DEFAULT_MAX_IDLE_MILLIS;
    private long mIdleSinceMillis;
    private long mNumber;
    private int mCalls;
    private int mIgnoredResponses;

    /** Bytes received since the last that belonged to a response to a call. */
    private int mUnusableBytes;

    EndpointConnection(
            EndpointConnections owner,
            EndpointRegistration endpoint,
            Optional<Relay> relay,
            String requestIdHeader) {
        mOwner = owner;
        mEndpoint = endpoint;
        mRelay = relay;
        mRequestIdHeader = requestIdHeader;
    }

    /** Returns the decoder that precedes this handler. */
    EndpointResponseDecoder decoder() {
        return mDecoder;
    }

    String endpoint() {
        return mEndpoint.name();
    }

    /** Returns the group of the endpoint. */
    EndpointGroup group() {
        return EndpointGroup.of(mEndpoint);
    }

    /** Returns the instance that relays this connection; empty if it is direct. */
    Optional<Relay> relay() {
        return mRelay;
    }

    void send(EndpointCall call, Channel channel) {
        mChannel = channel;
        mCall = call;
        mIgnoringResponse = false;
        mWritten = false;
        if (mCalls == 0) {
            mNumber = mOwner.nextNumber();
        }
        mCalls++;
        mIgnoredResponses = 0;
        call.assignConnection(this);
        OutgoingRequest request = call.request();
        remember(request);
        DefaultFullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.method(),
                        request.target(),
                        Unpooled.wrappedBuffer(request.body()),
                        request.headers(),
                        EmptyHttpHeaders.INSTANCE);
        channel.writeAndFlush(message).addListener(future -> written(call, future.isSuccess()));
    }

    private void remember(OutgoingRequest request) {
        if (request.id().isEmpty()) {
            return;
        }
        remember(mCarriedIds, request.id());
        if (request.method().equals(HttpMethod.HEAD)) {
            remember(mHeadIds, request.id());
        }
    }

    private static void remember(Deque<String> ids, String id) {
        ids.addLast(id);
        if (ids.size() > MAX_CARRIED_IDS) {
            ids.removeFirst();
        }
    }

    /** Returns whether an id would not tell the responses to two calls on this connection apart. */
    boolean carried(String id) {
        return mCarriedIds.contains(id);
    }

    JoinedContent joinedContent(ResponseFraming framing) {
        return new JoinedContent(framing, mRequestIdHeader, this::carried);
    }

    /** Keeps an idle connection from other calls; returns false if it is closed. */
    boolean hold() {
        mOwner.takeOut(this);
        return !mClosedHere && mChannel.isActive();
    }

    private boolean isToHead(HttpResponse head) {
        return mHeadIds.contains(requestId(head));
    }

    private String requestId(HttpResponse head) {
        return head.headers().get(mRequestIdHeader, "");
    }

    void reuse(EndpointCall call) {
        send(call, mChannel);
    }

    /** Returns whether an idle connection may carry another call. */
    boolean usable(long nowMillis) {
        return mChannel != null
                && mChannel.isActive()
                && nowMillis - mIdleSinceMillis < mMaxIdleMillis;
    }

    long idleMillis(long nowMillis) {
        return nowMillis - mIdleSinceMillis;
    }

    /** Returns how the call in progress, or the last one, is carried. */
    CallTrace trace() {
        return new CallTrace(mNumber, mCalls - 1, mIgnoredResponses, mRelay.isPresent());
    }

    /** Returns when the content of the last response arrived; empty before the first call. */
    Optional<ContentRhythm> rhythm() {
        return Optional.ofNullable(mCall == null ? mAnsweredCall : mCall).map(EndpointCall::rhythm);
    }

    void close() {
        mReusable = false;
        mClosedHere = true;
        if (mChannel != null) {
            mChannel.close();
        }
    }

    void setReadable(boolean readable) {
        if (readable && mCall != null && !mChannel.config().isAutoRead()) {
            mCall.rhythm().readOn(System.nanoTime());
        }
        mChannel.config().setAutoRead(readable);
    }

    private void written(EndpointCall call, boolean success) {
        mWritten = success;
        if (!success) {
            call.fail(CallFailure.BROKEN);
            close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        boolean joined =
                message instanceof HttpResponse head && JoinedHeads.in(head, mRequestIdHeader);
        if (message.decoderResult().isFailure() || joined) {
            failCall(CallFailure.GARBLED);
            close();
            return;
        }
        if (mCall == null) {
            close();
            return;
        }
        if (message instanceof HttpResponse head) {
            headReceived(head);
        }
        if (message instanceof HttpContent content) {
            contentReceived(content);
        }
    }

    /**
     * Counts bytes before they are decoded; closes the connection if no call is in progress, or if
     * none of many bytes has been of use.
     */
    void bytesReceived(int bytes) {
        if (mCall == null) {
            if (mAnsweredCall != null) {
                mAnsweredCall.markBytesFollowed();
            }
            close();
            return;
        }
        mUnusableBytes += bytes;
        if (mUnusableBytes > MAX_UNUSABLE_BYTES) {
            failCall(CallFailure.GARBLED);
            close();
        }
    }

    private void headReceived(HttpResponse head) {
        boolean interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        String id = mCall.request().id();
        mIgnoringResponse = interim || !id.equals(requestId(head));
        if (mIgnoringResponse) {
            if (!interim) {
                mIgnoredResponses++;
                mCall.listener().responseIgnored(head);
            }
            return;
        }
        mUnusableBytes = 0;
        boolean staysOpen = ResponseFraming.of(head) != ResponseFraming.CLOSE;
        // A refusal that is written again could not be told from that of the next call without id.
        boolean told = !id.isEmpty() || head.status().codeClass() == HttpStatusClass.SUCCESS;
        mReusable = mReusable && HttpUtil.isKeepAlive(head) && staysOpen && told;
        applyKeepAliveTimeout(head.headers().get("Keep-Alive"));
        if (!mCall.ended()) {
            mCall.listener().headReceived(head);
        }
    }

    private void contentReceived(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (mIgnoringResponse) {
            mIgnoringResponse = !last;
            return;
        }
        mUnusableBytes = 0;
        EndpointCall call = mCall;
        if (!call.ended() && content.content().isReadable()) {
            call.rhythm().contentReceived(System.nanoTime());
            call.listener().contentReceived(content.content());
            call.rhythm().contentProcessed(System.nanoTime());
        }
        if (last) {
            finish(call);
        }
    }

    private void finish(EndpointCall call) {
        mCall = null;
        mAnsweredCall = call;
        boolean pending = !call.ended();
        call.markEnded();
        call.bytesBehind(mDecoder.bytesBehind());
        if (!mChannel.isActive()) {
            call.rhythm().ended(System.nanoTime());
            mOwner.responseEnded(this, call.rhythm(), true);
        }
        mIdleSinceMillis = mOwner.nowMillis();
        if (mReusable && mWritten && !mDecoder.holdsBytes()) {
            // The call may have ended while its response was not read on.
            setReadable(true);
            mOwner.returnIdle(this);
        } else {
            close();
        }
        if (pending) {
            call.listener().completed();
        }
    }

    private void applyKeepAliveTimeout(String keepAlive) {
        if (keepAlive == null) {
            return;
        }
        int position = keepAlive.indexOf("timeout=");
        if (position < 0) {
            return;
        }
        String digits = keepAlive.substring(position + 8).replaceAll("[^0-9].*", "");
        if (!digits.isEmpty() && digits.length() < 7) {
            mMaxIdleMillis = Long.parseLong(digits) * 1_000 - IDLE_MARGIN_MILLIS;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mOwner.closed(this, !mClosedHere);
        if (mCall != null && !mClosedHere) {
            mCall.rhythm().ended(System.nanoTime());
            mOwner.responseEnded(this, mCall.rhythm(), false);
        }
        failCall(CallFailure.BROKEN);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failCall(CallFailure.BROKEN);
        close();
    }

    private void failCall(CallFailure failure) {
        EndpointCall call = mCall;
        mCall = null;
        if (call != null) {
            call.fail(failure);
        }
    }
}
