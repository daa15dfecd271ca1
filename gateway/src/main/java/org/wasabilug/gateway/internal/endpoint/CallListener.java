package org.wasabilug.gateway.internal.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response to one call; called on the event loop. */
public interface CallListener {
    /**
     * Called when the head of the response has arrived.
     *
     * @param head status and headers
     */
    void headReceived(HttpResponse head);

    /**
     * Called when a part of the body has arrived.
     *
     * @param content valid during this call only
     */
    void contentReceived(ByteBuf content);

    /**
     * Called when a response to another call has arrived on the connection; it is ignored.
     *
     * @param head status and headers
     */
    default void responseIgnored(HttpResponse head) {}

    /** Called when the response is complete. */
    void completed();

    /**
     * Called when there will be no complete response.
     *
     * @param failure the reason
     */
    void failed(CallFailure failure);
}
