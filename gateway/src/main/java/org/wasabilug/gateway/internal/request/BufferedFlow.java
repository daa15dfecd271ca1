package org.wasabilug.gateway.internal.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.RetryReason;

/** Serves a request whose response is buffered completely before it is sent to the caller. */
final class BufferedFlow extends RequestFlow {
    private static final long BUSY_RETRY_MILLIS = 300;
    private static final long MIN_ATTEMPT_TIMEOUT_MILLIS = 150;
    private static final double TIMEOUT_LATENCY_FACTOR = 4;

    BufferedFlow(
            GatewayState state,
            RequestContext request,
            CrashGuard guard,
            GatewayResponses gatewayResponses) {
        super(state, request, guard, gatewayResponses, BUSY_RETRY_MILLIS);
    }

    @Override
    void begin() {
        send();
    }

    @Override
    void retry() {
        send();
    }

    @Override
    void releaseResources() {}

    @Override
    void releaseResources(Attempt attempt) {}

    @Override
    void send() {
        Optional<Attempt> attempt = sender().send(here(), headers -> {});
        attempt.ifPresent(this::sent);
        if (attempt.isEmpty()) {
            end();
            respondNotRunOrFailed(sender().unavailableReason());
        }
    }

    @Override
    boolean hedgeable() {
        return true;
    }

    @Override
    boolean awaitsBeginning(Attempt attempt) {
        return isOnlyPending(attempt) && attempt.head() == null;
    }

    @Override
    Sender.InputLocation inputLocation() {
        return here();
    }

    @Override
    boolean confirm() {
        return sendHedge(RetryReason.OVERDUE_ATTEMPT).isPresent();
    }

    @Override
    Optional<Attempt> sendHedge(RetryReason reason) {
        Optional<Attempt> hedge = sender().sendHedge(here(), headers -> {}, reason);
        hedge.ifPresent(this::sent);
        return hedge;
    }

    private Sender.InputLocation here() {
        return new Sender.InputLocation(state().settings().failureDomain(), false);
    }

    private void sent(Attempt attempt) {
        if (started(attempt)) {
            watch(attempt);
        }
    }

    /** Sends an idempotent request to another endpoint as well if the first takes too long. */
    private void watch(Attempt attempt) {
        double typicalMillis = attempt.endpoint().health().latencyMillis();
        long timeout =
                Math.max(
                        MIN_ATTEMPT_TIMEOUT_MILLIS,
                        (long) (TIMEOUT_LATENCY_FACTOR * typicalMillis));
        state().loop().schedule(() -> checkSlow(attempt), timeout, TimeUnit.MILLISECONDS);
    }

    private void checkSlow(Attempt attempt) {
        if (!isPending(attempt)) {
            return;
        }
        attempt.suspectIfSilent();
        if (request().route().idempotent() && isOnlyHope(attempt)) {
            hedge(attempt);
        }
        watch(attempt);
    }

    private void hedge(Attempt overdue) {
        Optional<Attempt> hedge =
                sender().sendHedge(here(), headers -> {}, RetryReason.OVERDUE_ATTEMPT);
        if (hedge.isPresent()) {
            overdue.recordOverdue();
            sent(hedge.get());
        }
    }

    @Override
    public void contentReceived(Attempt attempt, ByteBuf content) {
        attempt.buffer(content);
    }

    @Override
    public boolean whole(Attempt attempt) {
        return true;
    }

    @Override
    public void completed(Attempt attempt) {
        if (attempt.notExecuted()) {
            sender().sendNotExecuted();
            retryOr(attempt, () -> respondNotRunOrFailed("endpoint refused the request"));
        } else if (!attempt.deliverable()) {
            retryIfIdempotentOr(attempt, () -> respondFailed("endpoint response has no seal"));
        } else if (attempt.head().status().codeClass() == HttpStatusClass.SERVER_ERROR) {
            retryIfIdempotentOr(attempt, () -> deliver(attempt));
        } else {
            goOnWith(attempt);
            end();
            deliver(attempt);
        }
    }

    private void deliver(Attempt attempt) {
        long millis = state().nowMillis() - exchange().receivedMillis();
        state().log().latency("whole-answer", millis);
        state().log().request(answeredLine(attempt).with("millis", millis));
        deliverBuffered(attempt);
    }
}
