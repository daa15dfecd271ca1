package org.wasabilug.gateway.internal.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives what an endpoint answers to one call; all calls come on the event loop. */
public interface CallListener {
    /**
     * The answer's head has come.
     *
     * @param head status and headers
     */
    void headReceived(HttpResponse head);

    /**
     * A part of the body has come.
     *
     * @param content valid during this call only
     */
    void contentReceived(ByteBuf content);

    /** The answer is complete. */
    void completed();

    /**
     * There will be no complete answer.
     *
     * @param failure why
     */
    void failed(CallFailure failure);
}
