package org.wasabilug.gateway.internal.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.caller.CallerExchange;
import org.wasabilug.gateway.internal.endpoint.CallFailure;
import org.wasabilug.gateway.internal.log.LogLine;

/**
 * Serves one request: attempts, one after another, until the caller has one final answer.
 *
 * <p>What follows a failed attempt is decided here. A request that may run once goes to a second
 * endpoint only where the first surely did not run it, and the caller is told that the request did
 * not run only where that holds for every attempt.
 */
abstract sealed class RequestFlow implements AttemptOwner permits BufferedFlow, StreamFlow {
    private final GatewayState mState;
    private final RequestContext mRequest;
    private final CallerExchange mExchange;
    private final GatewayResponses mGatewayResponses;
    private final Sender mSender;
    private final long mBusyRetryMillis;
    private ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private Attempt mAttempt;
    private ScheduledFuture<?> mTimeout;

    /**
     * Makes a flow that has not begun.
     *
     * @param busyRetryMillis how long a caller should wait after an endpoint had no room
     */
    RequestFlow(
            GatewayState state,
            RequestContext request,
            GatewayResponses ownAnswers,
            long busyRetryMillis) {
        mState = state;
        mRequest = request;
        mExchange = request.exchange();
        mGatewayResponses = ownAnswers;
        mSender = new Sender(state, request, this);
        mBusyRetryMillis = busyRetryMillis;
    }

    /** Begins to serve the request. */
    final void start() {
        long remaining = mRequest.deadlineMillis() - mState.nowMillis();
        mTimeout = mState.loop().schedule(this::timedOut, remaining, TimeUnit.MILLISECONDS);
        mExchange.onClose(this::callerDisconnected);
        begin();
    }

    /** Takes the first step. */
    abstract void begin();

    /** Sends the request to an endpoint that has not had it yet. */
    abstract void send();

    /** Sends the request once more after an attempt that failed at an endpoint. */
    abstract void retry();

    /** Gives up what is held for the request besides its attempts. */
    abstract void releaseResources();

    final GatewayState state() {
        return mState;
    }

    final RequestContext request() {
        return mRequest;
    }

    final CallerExchange exchange() {
        return mExchange;
    }

    final Sender sender() {
        return mSender;
    }

    /** Gives the attempt under way or, where there is none, the last one. */
    final Optional<Attempt> attempt() {
        return Optional.ofNullable(mAttempt);
    }

    /** Tells whether an attempt is the one that the caller still waits for. */
    final boolean isPending(Attempt attempt) {
        return attempt == mAttempt && !attempt.ended() && mExchange.open();
    }

    final void started(Attempt attempt) {
        mAttempt = attempt;
        mBody = new ByteArrayOutputStream();
    }

    /** Keeps content of an answer that is delivered whole. */
    final void buffer(ByteBuf content) {
        mBody.writeBytes(ByteBufUtil.getBytes(content));
    }

    /** Delivers an answer whose content was kept. */
    final void deliverBuffered(Attempt attempt) {
        HttpResponse head = attempt.head();
        mExchange.respond(
                head.status(), OutgoingHeaders.toCaller(head.headers()), mBody.toByteArray());
    }

    /** Begins the log line of an answer that was delivered. */
    final LogLine answeredLine(Attempt attempt) {
        return LogLine.of("answered")
                .with("request", mRequest.id())
                .with("endpoint", attempt.endpoint().registration().name())
                .with("status", attempt.head().status().code());
    }

    /** Sends the request once more where that is allowed, or ends with something else. */
    final void retryOr(Runnable otherwise) {
        if (mSender.tryAcquireRetry()) {
            retry();
        } else {
            end();
            otherwise.run();
        }
    }

    /** The same after an attempt that may have run. */
    final void retryIfIdempotentOr(Runnable otherwise) {
        if (mRequest.route().idempotent()) {
            retryOr(otherwise);
        } else {
            end();
            otherwise.run();
        }
    }

    /** Says that the request did not run where no attempt can have run it, else that it failed. */
    final void respondNotRunOrFailed(String reason) {
        respondNotRunOrFailed(reason, Math.max(mBusyRetryMillis, mSender.retryAfterMillis()));
    }

    final void respondNotRunOrFailed(String reason, long retryAfterMillis) {
        if (mSender.mayHaveRun()) {
            respondFailed(reason);
        } else {
            mGatewayResponses.notRun(mExchange, reason, retryAfterMillis);
        }
    }

    final void respondFailed(String reason) {
        mGatewayResponses.failed(mExchange, reason);
    }

    @Override
    public final void failed(Attempt attempt, CallFailure failure) {
        if (!failure.nothingSent()) {
            retryIfIdempotentOr(() -> respondFailed("endpoint " + failure));
            return;
        }
        mSender.lastSendNotExecuted();
        if (mSender.mayTryAnotherEndpoint()) {
            send();
        } else {
            end();
            respondNotRunOrFailed("no endpoint reached");
        }
    }

    private void timedOut() {
        attempt().ifPresent(Attempt::abandon);
        releaseResources();
        if (mSender.mayHaveRun()) {
            mGatewayResponses.timedOut(mExchange, "no complete answer in time");
        } else {
            mGatewayResponses.notRun(mExchange, "no endpoint in time", mBusyRetryMillis);
        }
    }

    private void callerDisconnected() {
        end();
        attempt().ifPresent(Attempt::cancel);
        mState.log().request(LogLine.of("caller-left").with("request", mRequest.id()));
    }

    /** Ends the wait for an answer; may be called more than once. */
    final void end() {
        mTimeout.cancel(false);
        releaseResources();
    }
}
