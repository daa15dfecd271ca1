package org.wasabilug.gateway.internal.stage;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.wasabilug.gateway.internal.endpoint.CallFailure;
import org.wasabilug.gateway.internal.endpoint.CallListener;

/**
 * Waits until an endpoint has released results. If the call is lost, the endpoint keeps the results
 * until they expire.
 */
final class ReleaseListener implements CallListener {
    private final Runnable mReleased;

    ReleaseListener(Runnable released) {
        mReleased = released;
    }

    @Override
    public void headReceived(HttpResponse head) {}

    @Override
    public void contentReceived(ByteBuf content) {}

    @Override
    public void completed() {
        mReleased.run();
    }

    @Override
    public void failed(CallFailure failure) {}
}
