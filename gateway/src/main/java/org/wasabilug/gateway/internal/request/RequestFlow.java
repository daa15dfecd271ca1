package org.wasabilug.gateway.internal.request;

import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.RetryReason;
import org.wasabilug.gateway.internal.caller.CallerExchange;
import org.wasabilug.gateway.internal.endpoint.CallFailure;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.RetrySpread;

/**
 * Serves one request with a series of attempts until the caller has one final response.
 *
 * <p>This class decides what follows a failed attempt. A non-idempotent request is sent to a second
 * endpoint only if the first certainly did not run it, and the caller is told that the request did
 * not run only if that holds for every attempt.
 */
abstract sealed class RequestFlow implements AttemptOwner permits BufferedFlow, StreamFlow {
    /** Times are rounded down, so that a timeout would otherwise end up to so much early. */
    private static final long ROUNDING_MILLIS = 1;

    private final GatewayState mState;
    private final RequestContext mRequest;
    private final CallerExchange mExchange;
    private final GatewayResponses mGatewayResponses;
    private final Sender mSender;
    private final long mBusyRetryMillis;

    /** Attempts whose response may still be delivered, in the order in which they were sent. */
    private final List<Attempt> mPending = new ArrayList<>();

    private ScheduledFuture<?> mTimeout;
    private Optional<RequestHedge> mHedge = Optional.empty();

    /**
     * Creates a flow that has not started.
     *
     * @param guard keeps the request from endpoints while it counts as a cause of crashes
     * @param busyRetryMillis how long a caller should wait after an endpoint had no capacity
     */
    RequestFlow(
            GatewayState state,
            RequestContext request,
            CrashGuard guard,
            GatewayResponses gatewayResponses,
            long busyRetryMillis) {
        mState = state;
        mRequest = request;
        mExchange = request.exchange();
        mGatewayResponses = gatewayResponses;
        mSender = new Sender(state, request, guard, this);
        mBusyRetryMillis = busyRetryMillis;
    }

    /** Starts to serve the request. */
    final void start() {
        scheduleTimeout(remainingMillis());
        mHedge = RequestHedge.of(this);
        mExchange.onClose(this::callerDisconnected);
        mExchange.onStop(() -> giveUp("this instance ended"));
        begin();
    }

    private long remainingMillis() {
        return mRequest.deadline().millis() - mState.nowMillis();
    }

    private void scheduleTimeout(long remainingMillis) {
        mTimeout =
                mState.loop()
                        .schedule(
                                this::checkTimeout,
                                remainingMillis + ROUNDING_MILLIS,
                                TimeUnit.MILLISECONDS);
    }

    /** A new configuration may have raised the timeout since it was scheduled. */
    private void checkTimeout() {
        long remaining = remainingMillis();
        if (remaining > 0) {
            mState.log()
                    .request(
                            LogLine.of("timeout-raised")
                                    .with("request", mRequest.id())
                                    .with("remaining", remaining));
            scheduleTimeout(remaining);
        } else {
            giveUp(mRequest.deadline().name());
        }
    }

    /** Performs the first step. */
    abstract void begin();

    /** Sends the request to an endpoint that has not received it yet. */
    abstract void send();

    /** Resends the request after an attempt that failed at an endpoint. */
    abstract void retry();

    /** Releases everything held for the request apart from its attempts. */
    abstract void releaseResources();

    /** Releases everything held for an attempt whose response is no longer waited for. */
    abstract void releaseResources(Attempt attempt);

    /** Returns whether the request may be hedged at all, if its route allows it. */
    abstract boolean hedgeable();

    /** Returns whether an attempt is the only one and has brought nothing of the response yet. */
    abstract boolean awaitsBeginning(Attempt attempt);

    /** Returns where the inputs of the request are. */
    abstract Sender.InputLocation inputLocation();

    /**
     * Sends the request to another endpoint to learn whether a response is whole.
     *
     * @return false if that is not possible now
     */
    abstract boolean confirm();

    /**
     * Sends the request to another endpoint while an earlier send goes on.
     *
     * @param reason why
     * @return the attempt, or empty if it may not be sent now
     */
    abstract Optional<Attempt> sendHedge(RetryReason reason);

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

    /** Returns the attempts whose response may still be delivered. */
    final List<Attempt> pending() {
        return List.copyOf(mPending);
    }

    /** Returns whether the caller still waits and an attempt may still bring the response. */
    final boolean isPending(Attempt attempt) {
        return mPending.contains(attempt) && mExchange.open();
    }

    /** Returns whether an attempt is the only one that may still bring the response. */
    final boolean isOnlyPending(Attempt attempt) {
        return mPending.size() == 1 && isPending(attempt);
    }

    /** Returns whether nothing is to be expected of any other attempt than one. */
    final boolean isOnlyHope(Attempt attempt) {
        return isPending(attempt)
                && mPending.stream()
                        .allMatch(each -> each == attempt || each.cutOff() || each.unproven());
    }

    /**
     * Waits for the response of an attempt, unless it failed while it was sent; returns whether it
     * does.
     */
    final boolean started(Attempt attempt) {
        if (attempt.ended()) {
            return false;
        }
        mPending.add(attempt);
        mHedge.ifPresent(hedge -> hedge.started(attempt));
        return true;
    }

    /** Goes on with one attempt alone and cancels the others. */
    final void goOnWith(Attempt attempt) {
        mHedge.ifPresent(hedge -> hedge.answered(attempt));
        for (Attempt other : pending()) {
            if (other != attempt) {
                drop(other);
                other.cancel();
                log("attempt-superseded", other);
            }
        }
    }

    /** Stops waiting for the response of one attempt. */
    final void drop(Attempt attempt) {
        mPending.remove(attempt);
        mHedge.ifPresent(hedge -> hedge.dropped(attempt));
        releaseResources(attempt);
    }

    @Override
    public final boolean askAnother(Attempt attempt) {
        if (!mRequest.route().idempotent() || !isPending(attempt)) {
            return false;
        }
        log("end-unproven", attempt);
        boolean othersGoOn = mPending.size() > 1;
        return othersGoOn ? !onlyUnproven() : confirm();
    }

    /** Returns whether there are responses that may be delivered, and all of them have ended. */
    private boolean onlyUnproven() {
        return !mPending.isEmpty() && mPending.stream().allMatch(Attempt::unproven);
    }

    /**
     * Takes a response for whole that has not been proven so, unless another one may still tell.
     *
     * @return whether it did
     */
    final boolean settleUnproven() {
        boolean settles = onlyUnproven();
        if (settles) {
            mPending.getFirst().settle();
        }
        return settles;
    }

    private void goOnWithout(Attempt failed) {
        log("attempt-dropped", failed);
        if (onlyUnproven() && !confirm()) {
            settleUnproven();
        }
    }

    /** Delivers a response whose content was buffered. */
    final void deliverBuffered(Attempt attempt) {
        HttpResponse head = attempt.head();
        mExchange.respond(
                head.status(), OutgoingHeaders.toCaller(head.headers()), attempt.bufferedBody());
    }

    private void log(String event, Attempt attempt) {
        mState.log().request(line(event, attempt));
    }

    private LogLine line(String event, Attempt attempt) {
        return LogLine.of(event)
                .with("request", mRequest.id())
                .with("endpoint", attempt.endpoint().registration().name());
    }

    /** Starts the log line of a delivered response. */
    final LogLine answeredLine(Attempt attempt) {
        return attempt.traced(line("answered", attempt));
    }

    /**
     * Resends the request after a failed attempt if that is allowed; otherwise ends it and runs the
     * alternative. Does neither while another attempt may still bring the response.
     */
    final void retryOr(Attempt failed, Runnable alternative) {
        drop(failed);
        if (!mPending.isEmpty()) {
            goOnWithout(failed);
        } else if (mSender.tryReserveRetry()) {
            retry();
        } else {
            end();
            alternative.run();
        }
    }

    /** Like {@link #retryOr}, but retries only idempotent requests, as the attempt may have run. */
    final void retryIfIdempotentOr(Attempt failed, Runnable alternative) {
        if (mRequest.route().idempotent()) {
            retryOr(failed, alternative);
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
        long retryAfter = Math.max(mBusyRetryMillis, mSender.retryAfterMillis());
        boolean spread = mState.settings().features().fairAdmission();
        respondNotRunOrFailed(
                reason, spread ? RetrySpread.millis(mRequest.id(), retryAfter) : retryAfter);
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
        mState.log().request(line("attempt-failed", attempt).with("failure", failure.name()));
        if (!failure.nothingSent()) {
            retryIfIdempotentOr(attempt, () -> respondFailed("endpoint " + failure));
            return;
        }
        drop(attempt);
        mSender.sendNotExecuted();
        if (!mPending.isEmpty()) {
            goOnWithout(attempt);
        } else if (mSender.mayTryAnotherEndpoint()) {
            send();
        } else {
            end();
            respondNotRunOrFailed("no endpoint reachable");
        }
    }

    /**
     * Ends the request without a response of an endpoint.
     *
     * @param limit what limits the time of the request
     */
    private void giveUp(String limit) {
        pending().stream().filter(each -> !each.unproven()).forEach(this::abandon);
        if (settleUnproven()) {
            return;
        }
        end();
        if (mSender.mayHaveRun()) {
            mGatewayResponses.timedOut(mExchange, "no complete response before " + limit);
        } else {
            mGatewayResponses.notRun(
                    mExchange, "no endpoint available before " + limit, mBusyRetryMillis);
        }
    }

    private void abandon(Attempt attempt) {
        drop(attempt);
        attempt.abandon();
    }

    private void callerDisconnected() {
        end();
        pending().forEach(Attempt::cancel);
        mState.log().request(LogLine.of("caller-left").with("request", mRequest.id()));
    }

    /** Stops waiting for a response; may be called more than once. */
    final void end() {
        mTimeout.cancel(false);
        mSender.end();
        mHedge.ifPresent(RequestHedge::ended);
        releaseResources();
    }
}
