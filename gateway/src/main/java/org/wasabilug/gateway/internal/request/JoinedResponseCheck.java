package org.wasabilug.gateway.internal.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.endpoint.EndpointCall;
import org.wasabilug.gateway.internal.endpoint.JoinedContent;
import org.wasabilug.gateway.internal.endpoint.JoinedContent.Finding;
import org.wasabilug.gateway.internal.endpoint.JoinedHeads;
import org.wasabilug.gateway.internal.endpoint.ResponseFraming;

/**
 * Checks that the content of one response goes on with no other one.
 *
 * <p>Events that may hold the head of another response are held back until what follows tells.
 */
final class JoinedResponseCheck {
    /** The rest of a response follows its beginning within this. */
    private static final long REST_MILLIS = 40;

    private final GatewayState mState;
    private final EndpointCall mCall;
    private final ResponseFraming mFraming;
    private final JoinedContent mSearch;
    private ByteBuf mHeld = Unpooled.EMPTY_BUFFER;

    /**
     * Creates a check of a response whose head has arrived.
     *
     * @param call the call that it belongs to
     * @param head its head
     */
    JoinedResponseCheck(GatewayState state, EndpointCall call, HttpResponse head) {
        mState = state;
        mCall = call;
        mFraming = ResponseFraming.of(head);
        mSearch = call.joinedContent(head);
    }

    /**
     * Adds events that have arrived.
     *
     * @param events whole events; released unless they are returned
     * @return the events that may be passed on now, or empty if another response begins in them
     */
    Optional<ByteBuf> add(ByteBuf events) {
        ByteBuf all = mHeld.isReadable() ? Unpooled.wrappedBuffer(mHeld, events) : events;
        Finding finding = mSearch.inPart(all);
        mHeld = finding == Finding.UNDECIDED ? all : Unpooled.EMPTY_BUFFER;
        return switch (finding) {
            case SINGLE -> Optional.of(all);
            case UNDECIDED -> Optional.of(Unpooled.EMPTY_BUFFER);
            case JOINED -> {
                all.release();
                yield Optional.empty();
            }
        };
    }

    /** Returns the bytes of the events that are held back. */
    int heldBytes() {
        return mHeld.readableBytes();
    }

    /** Returns the events that are held back; to be called once the response was found sound. */
    ByteBuf takeHeld() {
        ByteBuf held = mHeld;
        mHeld = Unpooled.EMPTY_BUFFER;
        return held;
    }

    /**
     * Checks a complete response.
     *
     * @param body the body; empty if its events were added
     * @param receiver receives whether the response has taken a part of another one
     */
    void checkEnd(byte[] body, Consumer<Boolean> receiver) {
        Finding finding =
                mSearch.inWhole(mHeld.isReadable() ? mHeld : Unpooled.wrappedBuffer(body));
        if (finding == Finding.UNDECIDED) {
            awaitRest(receiver);
        } else {
            receiver.accept(finding == Finding.JOINED || endsInAnother(body));
        }
    }

    private boolean endsInAnother(byte[] body) {
        return mFraming == ResponseFraming.CLOSE
                ? JoinedHeads.isCutIn(body)
                : JoinedHeads.atEnd(body, mCall.bytesBehind());
    }

    /** The body ends amid what may be another response, whose rest would follow. */
    private void awaitRest(Consumer<Boolean> receiver) {
        if (!mCall.bytesBehind().isEmpty() || !mCall.holdConnection()) {
            receiver.accept(true);
            return;
        }
        mState.loop().schedule(() -> restAwaited(receiver), REST_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void restAwaited(Consumer<Boolean> receiver) {
        mCall.closeConnection();
        receiver.accept(mCall.bytesFollowed());
    }
}
