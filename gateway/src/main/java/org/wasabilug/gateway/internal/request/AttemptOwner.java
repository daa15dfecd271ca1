package org.wasabilug.gateway.internal.request;

import io.netty.buffer.ByteBuf;
import org.wasabilug.gateway.internal.endpoint.CallFailure;

/** Decides what happens to a request after each event of one of its attempts. */
interface AttemptOwner {
    void contentReceived(Attempt attempt, ByteBuf content);

    void completed(Attempt attempt);

    /**
     * Asks another endpoint as well, as a response that has ended is only likely to be whole.
     *
     * @return false if that is not possible, so that nothing will tell more
     */
    boolean askAnother(Attempt attempt);

    /** Returns whether a response that has ended is whole. */
    boolean whole(Attempt attempt);

    void failed(Attempt attempt, CallFailure failure);
}
