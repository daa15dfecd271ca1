package org.wasabilug.gateway.internal.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.internal.GatewayState;

/** Serves a request whose answer is taken whole before the caller gets any of it. */
final class PlainFlow extends RequestFlow {
    private static final long BUSY_RETRY_MILLIS = 300;
    private static final long SHORTEST_PATIENCE_MILLIS = 150;
    private static final double PATIENCE_FACTOR = 4;

    PlainFlow(GatewayState state, RequestContext request, OwnAnswers ownAnswers) {
        super(state, request, ownAnswers, BUSY_RETRY_MILLIS);
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
    void send() {
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
        keep(content);
    }

    @Override
    public void completed(Attempt attempt) {
        if (attempt.notExecuted()) {
            sender().lastDidNotRun();
            sendAgainOr(() -> giveNotRunOrFailed("endpoint refused"));
        } else if (!attempt.genuine()) {
            sendAgainIfIdempotentOr(() -> giveFailed("answer without seal"));
        } else if (attempt.head().status().codeClass() == HttpStatusClass.SERVER_ERROR) {
            sendAgainIfIdempotentOr(() -> deliver(attempt));
        } else {
            end();
            deliver(attempt);
        }
    }

    private void deliver(Attempt attempt) {
        long millis = state().nowMillis() - exchange().receivedMillis();
        state().log().latency("whole-answer", millis);
        state().log().request(answeredBy(attempt).with("millis", millis));
        deliverWhole(attempt);
    }
}
