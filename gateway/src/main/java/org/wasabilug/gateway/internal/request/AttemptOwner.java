package org.wasabilug.gateway.internal.request;

import io.netty.buffer.ByteBuf;
import org.wasabilug.gateway.internal.endpoint.CallFailure;

/** Decides what follows from what an attempt brings. */
interface AttemptOwner {
    void headReceived(Attempt attempt);

    void contentReceived(Attempt attempt, ByteBuf content);

    void completed(Attempt attempt);

    void failed(Attempt attempt, CallFailure failure);
}
