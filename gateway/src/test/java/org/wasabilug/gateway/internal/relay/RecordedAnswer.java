package org.wasabilug.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.wasabilug.gateway.internal.endpoint.CallFailure;
import org.wasabilug.gateway.internal.endpoint.CallListener;
import org.wasabilug.gateway.internal.endpoint.EndpointCall;

/** Records the answer to a call and how it ended. */
final class RecordedAnswer implements CallListener {
    static final String COMPLETE = "COMPLETE";
    private static final long TIMEOUT_SECONDS = 20;

    private final CompletableFuture<String> mEnd = new CompletableFuture<>();
    private final CompletableFuture<Void> mBegun = new CompletableFuture<>();
    private final StringBuffer mContent = new StringBuffer();
    private EndpointCall mCall;

    void call(EndpointCall call) {
        mCall = call;
    }

    EndpointCall call() {
        return mCall;
    }

    /** Waits for the end: {@link #COMPLETE} or the failure. */
    String end() throws InterruptedException, ExecutionException, TimeoutException {
        return mEnd.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    boolean ended() {
        return mEnd.isDone();
    }

    /** Waits for the first content. */
    void awaitBegun() throws InterruptedException, ExecutionException, TimeoutException {
        mBegun.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    String content() {
        return mContent.toString();
    }

    @Override
    public void headReceived(HttpResponse head) {
        // Tests look at the content and the end.
    }

    @Override
    public void contentReceived(ByteBuf content) {
        mContent.append(content.toString(StandardCharsets.ISO_8859_1));
        mBegun.complete(null);
    }

    @Override
    public void completed() {
        mEnd.complete(COMPLETE);
    }

    @Override
    public void failed(CallFailure failure) {
        mEnd.complete(failure.name());
    }
}
