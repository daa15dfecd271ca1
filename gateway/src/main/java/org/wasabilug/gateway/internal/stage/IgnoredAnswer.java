package org.wasabilug.gateway.internal.stage;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.wasabilug.gateway.internal.endpoint.CallFailure;
import org.wasabilug.gateway.internal.endpoint.CallListener;

/** Takes the answer of a call on which nothing depends. */
final class IgnoredAnswer implements CallListener {
    @Override
    public void headReceived(HttpResponse head) {}

    @Override
    public void contentReceived(ByteBuf content) {}

    @Override
    public void completed() {}

    @Override
    public void failed(CallFailure failure) {}
}
