package org.wasabilug.gateway.internal.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.caller.CallerExchange;
import org.wasabilug.gateway.internal.endpoint.CallFailure;
import org.wasabilug.gateway.internal.log.LogLine;

/**
 * Serves a request whose answer is taken whole before the caller gets any of it.
 *
 * <p>A request that may run once goes to a second endpoint only where the first surely did not run
 * it.
 */
final class PlainFlow implements AttemptOwner {
    private static final long BUSY_RETRY_MILLIS = 300;
    private static final long SHORTEST_PATIENCE_MILLIS = 150;
    private static final double PATIENCE_FACTOR = 4;

    private final GatewayState mState;
    private final RequestContext mRequest;
    private final CallerExchange mExchange;
    private final OwnAnswers mOwnAnswers;
    private final Sender mSender;
    private ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private Attempt mAttempt;
    private ScheduledFuture<?> mTimeout;

    PlainFlow(GatewayState state, RequestContext request, OwnAnswers ownAnswers) {
        mState = state;
        mRequest = request;
        mExchange = request.exchange();
        mOwnAnswers = ownAnswers;
        mSender = new Sender(state, request, this);
    }

    void start() {
        long remaining = mRequest.answerByMillis() - mState.nowMillis();
        mTimeout = mState.loop().schedule(this::timedOut, remaining, TimeUnit.MILLISECONDS);
        mExchange.onClose(this::callerLeft);
        send();
    }

    private void send() {
        mBody = new ByteArrayOutputStream();
        Sender.InputPlace here = new Sender.InputPlace(mState.settings().failureDomain(), false);
        Optional<Attempt> attempt = mSender.send(here, headers -> {});
        if (attempt.isPresent()) {
            mAttempt = attempt.get();
            watch(mAttempt);
        } else if (mSender.mayHaveRun()) {
            end();
            mOwnAnswers.failed(mExchange, "attempts failed and " + mSender.unavailable());
        } else {
            end();
            mOwnAnswers.notRun(mExchange, mSender.unavailable(), mSender.retryAfterMillis());
        }
    }

    /** A repeatable request goes to a second endpoint where the first takes too long. */
    private void watch(Attempt attempt) {
        if (mRequest.route().idempotent()) {
            double usual = attempt.endpoint().health().latencyMillis();
            long patience = Math.max(SHORTEST_PATIENCE_MILLIS, (long) (PATIENCE_FACTOR * usual));
            mState.loop().schedule(() -> checkSlow(attempt), patience, TimeUnit.MILLISECONDS);
        }
    }

    private void checkSlow(Attempt attempt) {
        if (attempt == mAttempt && !attempt.over() && mExchange.open() && mSender.mayRepeat()) {
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
            mSender.lastDidNotRun();
            sendAgainOr(() -> mOwnAnswers.notRun(mExchange, "endpoint refused", BUSY_RETRY_MILLIS));
        } else if (!AnswerCheck.genuine(mState, attempt.head())) {
            sendAgainIfIdempotentOr(() -> mOwnAnswers.failed(mExchange, "answer without seal"));
        } else if (attempt.head().status().codeClass() == HttpStatusClass.SERVER_ERROR) {
            sendAgainIfIdempotentOr(() -> deliver(attempt));
        } else {
            end();
            deliver(attempt);
        }
    }

    @Override
    public void failed(Attempt attempt, CallFailure failure) {
        if (failure.nothingSent()) {
            mSender.lastDidNotRun();
            if (mSender.mayTryAnother()) {
                send();
            } else {
                end();
                giveNotRunOrFailed("no endpoint reached");
            }
            return;
        }
        sendAgainIfIdempotentOr(() -> mOwnAnswers.failed(mExchange, "endpoint " + failure));
    }

    private void sendAgainIfIdempotentOr(Runnable otherwise) {
        if (mRequest.route().idempotent()) {
            sendAgainOr(otherwise);
        } else {
            end();
            otherwise.run();
        }
    }

    private void sendAgainOr(Runnable otherwise) {
        if (mSender.mayRepeat()) {
            send();
        } else {
            end();
            otherwise.run();
        }
    }

    private void deliver(Attempt attempt) {
        HttpResponse head = attempt.head();
        HttpHeaders headers = OutgoingHeaders.toCaller(head.headers());
        long now = mState.nowMillis();
        mState.log().latency("whole-answer", now - mExchange.receivedMillis());
        mState.log()
                .request(
                        LogLine.of("answered")
                                .with("request", mRequest.id())
                                .with("endpoint", attempt.endpoint().registration().name())
                                .with("status", head.status().code())
                                .with("millis", now - mExchange.receivedMillis()));
        mExchange.answer(
                HttpResponseStatus.valueOf(head.status().code(), head.status().reasonPhrase()),
                headers,
                mBody.toByteArray());
    }

    private void timedOut() {
        if (mAttempt != null) {
            mAttempt.giveUp();
        }
        mOwnAnswers.timedOut(mExchange, "no answer in time");
    }

    private void giveNotRunOrFailed(String reason) {
        if (mSender.mayHaveRun()) {
            mOwnAnswers.failed(mExchange, reason);
        } else {
            mOwnAnswers.notRun(mExchange, reason, BUSY_RETRY_MILLIS);
        }
    }

    private void callerLeft() {
        end();
        if (mAttempt != null) {
            mAttempt.cancel();
        }
        mState.log().request(LogLine.of("caller-left").with("request", mRequest.id()));
    }

    private void end() {
        mTimeout.cancel(false);
    }
}
