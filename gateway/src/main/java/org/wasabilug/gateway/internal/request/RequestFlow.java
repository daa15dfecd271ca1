package org.wasabilug.gateway.internal.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.caller.CallerExchange;
import org.wasabilug.gateway.internal.endpoint.CallFailure;
import org.wasabilug.gateway.internal.endpoint.ResponseBuffer;
import org.wasabilug.gateway.internal.log.LogLine;

/**
 * Serves one request with a series of attempts until the caller has one final response.
 *
 * <p>This class decides what follows a failed attempt. A non-idempotent request is sent to a second
 * endpoint only if the first certainly did not run it, and the caller is told that the request did
 * not run only if that holds for every attempt.
 */
abstract sealed class RequestFlow implements AttemptOwner permits BufferedFlow, StreamFlow {
    private final GatewayState mState;
    private final RequestContext mRequest;
    private final CallerExchange mExchange;
    private final GatewayResponses mGatewayResponses;
    private final Sender mSender;
    private final long mBusyRetryMillis;
    private ResponseBuffer mBody;
    private Attempt mAttempt;
    private ScheduledFuture<?> mTimeout;

    /**
     * Creates a flow that has not started.
     *
     * @param busyRetryMillis how long a caller should wait after an endpoint had no capacity
     */
    RequestFlow(
            GatewayState state,
            RequestContext request,
            GatewayResponses gatewayResponses,
            long busyRetryMillis) {
        mState = state;
        mRequest = request;
        mExchange = request.exchange();
        mGatewayResponses = gatewayResponses;
        mSender = new Sender(state, request, this);
        mBusyRetryMillis = busyRetryMillis;
        mBody = new ResponseBuffer(state.responseMemory());
    }

    /** Starts to serve the request. */
    final void start() {
        long remaining = mRequest.deadlineMillis() - mState.nowMillis();
        mTimeout = mState.loop().schedule(this::timedOut, remaining, TimeUnit.MILLISECONDS);
        mExchange.onClose(this::callerDisconnected);
        begin();
    }

    /** Performs the first step. */
    abstract void begin();

    /** Sends the request to an endpoint that has not received it yet. */
    abstract void send();

    /** Resends the request after an attempt that failed at an endpoint. */
    abstract void retry();

    /** Releases everything held for the request apart from its attempts. */
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

    /** Returns the attempt in progress, or the last one if there is none. */
    final Optional<Attempt> attempt() {
        return Optional.ofNullable(mAttempt);
    }

    /** Returns whether an attempt is the current one and the caller still waits for it. */
    final boolean isPending(Attempt attempt) {
        return attempt == mAttempt && !attempt.ended() && mExchange.open();
    }

    final void started(Attempt attempt) {
        mAttempt = attempt;
        mBody.release();
        mBody = new ResponseBuffer(mState.responseMemory());
    }

    /** Buffers content of a response that is delivered as a whole. */
    final void buffer(Attempt attempt, ByteBuf content) {
        if (!mBody.append(content)) {
            attempt.reject(CallFailure.TOO_LARGE);
        }
    }

    /** Delivers a response whose content was buffered. */
    final void deliverBuffered(Attempt attempt) {
        HttpResponse head = attempt.head();
        mExchange.respond(
                head.status(), OutgoingHeaders.toCaller(head.headers()), mBody.toByteArray());
    }

    /** Starts the log line of a delivered response. */
    final LogLine answeredLine(Attempt attempt) {
        return LogLine.of("answered")
                .with("request", mRequest.id())
                .with("endpoint", attempt.endpoint().registration().name())
                .with("status", attempt.head().status().code());
    }

    /** Resends the request if that is allowed; otherwise ends it and runs the alternative. */
    final void retryOr(Runnable alternative) {
        if (mSender.tryAcquireRetry()) {
            retry();
        } else {
            end();
            alternative.run();
        }
    }

    /** Like {@link #retryOr}, but retries only idempotent requests, as the attempt may have run. */
    final void retryIfIdempotentOr(Runnable alternative) {
        if (mRequest.route().idempotent()) {
            retryOr(alternative);
        } else {
            end();
            alternative.run();
        }
    }

    /**
     * Reports that the request did not run if no attempt can have run it, and otherwise that it
     * failed.
     */
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
        mState.log()
                .request(
                        LogLine.of("attempt-failed")
                                .with("request", mRequest.id())
                                .with("endpoint", attempt.endpoint().registration().name())
                                .with("failure", failure.name()));
        if (!failure.nothingSent()) {
            retryIfIdempotentOr(() -> respondFailed("endpoint " + failure));
            return;
        }
        mSender.lastSendNotExecuted();
        if (mSender.mayTryAnotherEndpoint()) {
            send();
        } else {
            end();
            respondNotRunOrFailed("no endpoint reachable");
        }
    }

    private void timedOut() {
        attempt().ifPresent(Attempt::abandon);
        end();
        if (mSender.mayHaveRun()) {
            mGatewayResponses.timedOut(mExchange, "no complete response before the deadline");
        } else {
            mGatewayResponses.notRun(
                    mExchange, "no endpoint available before the deadline", mBusyRetryMillis);
        }
    }

    private void callerDisconnected() {
        end();
        attempt().ifPresent(Attempt::cancel);
        mState.log().request(LogLine.of("caller-left").with("request", mRequest.id()));
    }

    /** Stops waiting for a response; may be called more than once. */
    final void end() {
        mTimeout.cancel(false);
        mBody.release();
        releaseResources();
    }
}
