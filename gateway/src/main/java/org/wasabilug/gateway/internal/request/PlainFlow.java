package org.wasabilug.gateway.internal.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;

/** Serves a request whose answer is taken whole before the caller gets any of it. */
final class PlainFlow extends RequestFlow {
    private static final long BUSY_RETRY_MILLIS = 300;
    private static final long SHORTEST_PATIENCE_MILLIS = 150;
    private static final double PATIENCE_FACTOR = 4;

    private ByteArrayOutputStream mBody = new ByteArrayOutputStream();

    PlainFlow(GatewayState state, RequestContext request, OwnAnswers ownAnswers) {
        super(state, request, ownAnswers);
    }

    @Override
    void begin() {
        send();
    }

    @Override
    void sendAgain() {
        send();
    }

    @Override
    void releaseResources() {}

    @Override
    long busyRetryMillis() {
        return BUSY_RETRY_MILLIS;
    }

    @Override
    void send() {
        mBody = new ByteArrayOutputStream();
        Sender.InputPlace here = new Sender.InputPlace(state().settings().failureDomain(), false);
        Optional<Attempt> attempt = sender().send(here, headers -> {});
        if (attempt.isPresent()) {
            began(attempt.get());
            watch(attempt.get());
        } else {
            end();
            giveNotRunOrFailed(sender().unavailable());
        }
    }

    /** A repeatable request goes to a second endpoint where the first takes too long. */
    private void watch(Attempt attempt) {
        if (request().route().idempotent()) {
            double usual = attempt.endpoint().health().latencyMillis();
            long patience = Math.max(SHORTEST_PATIENCE_MILLIS, (long) (PATIENCE_FACTOR * usual));
            state().loop().schedule(() -> checkSlow(attempt), patience, TimeUnit.MILLISECONDS);
        }
    }

    private void checkSlow(Attempt attempt) {
        if (awaits(attempt) && sender().mayRepeat()) {
            attempt.giveUp();
            send();
        }
    }

    @Override
    public void headReceived(Attempt attempt) {}

    @Override
    public void contentReceived(Attempt attempt, ByteBuf content) {
        byte[] bytes = new byte[content.readableBytes()];
        content.readBytes(bytes);
        mBody.writeBytes(bytes);
    }

    @Override
    public void completed(Attempt attempt) {
        if (attempt.notExecuted()) {
            sender().lastDidNotRun();
            sendAgainOr(() -> giveNotRunOrFailed("endpoint refused"));
        } else if (!AnswerCheck.genuine(state(), attempt.head())) {
            sendAgainIfIdempotentOr(() -> giveFailed("answer without seal"));
        } else if (attempt.head().status().codeClass() == HttpStatusClass.SERVER_ERROR) {
            sendAgainIfIdempotentOr(() -> deliver(attempt));
        } else {
            end();
            deliver(attempt);
        }
    }

    private void deliver(Attempt attempt) {
        HttpResponse head = attempt.head();
        HttpHeaders headers = OutgoingHeaders.toCaller(head.headers());
        long now = state().nowMillis();
        state().log().latency("whole-answer", now - exchange().receivedMillis());
        state().log()
                .request(
                        LogLine.of("answered")
                                .with("request", request().id())
                                .with("endpoint", attempt.endpoint().registration().name())
                                .with("status", head.status().code())
                                .with("millis", now - exchange().receivedMillis()));
        exchange()
                .answer(
                        HttpResponseStatus.valueOf(
                                head.status().code(), head.status().reasonPhrase()),
                        headers,
                        mBody.toByteArray());
    }
}
