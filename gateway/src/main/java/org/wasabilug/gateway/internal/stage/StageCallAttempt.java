package org.wasabilug.gateway.internal.stage;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.RolloutSend;
import org.wasabilug.gateway.internal.endpoint.CallFailure;
import org.wasabilug.gateway.internal.endpoint.CallListener;
import org.wasabilug.gateway.internal.endpoint.EndpointCall;
import org.wasabilug.gateway.internal.endpoint.OutgoingRequest;
import org.wasabilug.gateway.internal.endpoint.ResponseBuffer;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.protocol.UnreadableException;
import org.wasabilug.internal.serving.EndpointLoad;
import org.wasabilug.internal.serving.PieceWork;
import org.wasabilug.internal.serving.ProducedHandles;
import org.wasabilug.internal.serving.ServiceSpeeds;
import org.wasabilug.internal.serving.StageCall;
import org.wasabilug.serving.ServiceSpecification;
import org.wasabilug.serving.StageCapacity;

/**
 * One call with pieces to one endpoint.
 *
 * <p>A call that takes much longer than expected is overdue, so that its pieces may be sent to
 * another endpoint as well. It is given up only after a silence that no sound endpoint keeps.
 */
final class StageCallAttempt implements CallListener {
    private static final int OK = 200;
    private static final double OVERDUE_FACTOR = 4;
    private static final long OVERDUE_MARGIN_MILLIS = 400;

    /** A sound endpoint may be silent for a second. */
    private static final long MAX_SILENCE_MILLIS = 1_500;

    private static final long OVERDUE_INTERVAL_MILLIS = 200;

    /**
     * Calls of different sizes are compared by the ratio of their time to the expected one; this is
     * the time that a ratio of 1 stands for.
     */
    private static final double RATIO_SCALE_MILLIS = 100;

    private static final EndpointLoad CALL_LOAD = new EndpointLoad(1, 0, 0);

    private final GatewayState mState;
    private final ServiceSpecification mService;
    private final StageCall mCall;
    private final ProducedHandles mHandles;
    private final Listener mListener;
    private final ResponseBuffer mBody;
    private final long mSentMillis;
    private final ServiceSpeeds.Prediction mPrediction;
    private EndpointCall mExchange;
    private RolloutSend mRollout = RolloutSend.NONE;
    private ScheduledFuture<?> mTimeout;
    private int mStatus;
    private boolean mNotExecuted;
    private boolean mOverdue;
    private boolean mFinished;

    /** Receives what becomes of a call. */
    interface Listener {
        /** The call takes too long; it goes on. Called several times a second until it ends. */
        void overdue(StageCall call);

        /** The call has ended. */
        void ended(StageCall call, StageCallResult result);
    }

    StageCallAttempt(
            GatewayState state,
            ServiceSpecification service,
            StageCall call,
            ProducedHandles handles,
            Listener listener) {
        mState = state;
        mHandles = handles;
        mService = service;
        mCall = call;
        mListener = listener;
        mBody = new ResponseBuffer(state.responseMemory());
        mSentMillis = state.nowMillis();
        mPrediction =
                state.speedMonitor()
                        .speeds()
                        .predict(call.endpoint(), expectedMillis(), mSentMillis);
    }

    void start() {
        for (PieceWork work : mCall.pieces()) {
            if (!work.repeat()) {
                mState.retryPermits().recordFirstAttempt(work.service(), mSentMillis);
            }
        }
        mCall.endpoint().recordSent(CALL_LOAD, mSentMillis);
        recordRollout();
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Content-Type", "application/json");
        headers.set(
                mState.protocol().headers().expectedEndpoint(),
                mCall.endpoint().registration().name());
        byte[] body = mState.protocol().stages().callBody(mCall.pieces(), mSentMillis);
        OutgoingRequest request =
                new OutgoingRequest(
                        "",
                        HttpMethod.POST,
                        mState.protocol().stages().callTarget(),
                        headers,
                        body,
                        true);
        long overdue = (long) (OVERDUE_FACTOR * expectedMillis()) + OVERDUE_MARGIN_MILLIS;
        mTimeout = mState.loop().schedule(this::becomeOverdue, overdue, TimeUnit.MILLISECONDS);
        mExchange = mState.connections().send(mCall.endpoint().registration(), request, this);
    }

    private void recordRollout() {
        if (mCall.pieces().stream().anyMatch(work -> !work.repeat())) {
            mState.rollouts().recordRequest(mService.name());
        }
        mRollout = mState.rollouts().sent(mCall.endpoint(), "");
    }

    private double expectedMillis() {
        StageCapacity capacity = mService.stage().orElseThrow();
        return capacity.callMillis() + mCall.pieces().size() * capacity.pieceMillis();
    }

    /** Cancels a call whose response can no longer be expected. */
    void abandon() {
        mExchange.cancel();
        fail("endpoints silent", true);
    }

    StageCall call() {
        return mCall;
    }

    /** Returns whether the call takes much longer than expected. */
    boolean overdue() {
        return mOverdue;
    }

    private void becomeOverdue() {
        mOverdue = true;
        mCall.endpoint().health().recordLatencyRatio(OVERDUE_FACTOR, mState.nowMillis());
        mTimeout =
                mState.loop().schedule(this::timedOut, MAX_SILENCE_MILLIS, TimeUnit.MILLISECONDS);
        mState.log().request(line("stage-call-overdue"));
        mState.reachability().suspect(mCall.endpoint().registration());
        reportOverdue();
    }

    private void reportOverdue() {
        if (!mFinished) {
            mListener.overdue(mCall);
            mState.loop()
                    .schedule(this::reportOverdue, OVERDUE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void timedOut() {
        mExchange.cancel();
        mState.reachability().suspect(mCall.endpoint().registration());
        fail("timeout", true);
    }

    @Override
    public void headReceived(HttpResponse head) {
        mState.recordResponse(mCall.endpoint(), head);
        mStatus = head.status().code();
        mNotExecuted = mState.notExecuted(head);
    }

    @Override
    public void contentReceived(ByteBuf content) {
        if (!mBody.append(content)) {
            mExchange.cancel();
            failed(CallFailure.TOO_LARGE);
        }
    }

    @Override
    public void completed() {
        if (mStatus != OK) {
            fail("status " + mStatus, !mNotExecuted);
            return;
        }
        try {
            var outcomes =
                    mState.protocol()
                            .stages()
                            .readResponse(mBody.toByteArray(), mCall.pieces().size());
            if (!mHandles.record(mCall.pieces(), outcomes)) {
                failForeign("response to another call");
                return;
            }
            double elapsedMillis = mState.nowMillis() - mSentMillis;
            mCall.endpoint().health().recordSuccess(elapsedMillis);
            mCall.endpoint()
                    .health()
                    .recordLatencyRatio(elapsedMillis / expectedMillis(), mState.nowMillis());
            StageCallResult result = new StageCallResult(outcomes, true);
            if (result.anyError()) {
                mRollout.failed();
            }
            mRollout.succeeded(RATIO_SCALE_MILLIS * elapsedMillis / expectedMillis());
            mState.speedMonitor()
                    .speeds()
                    .recordElapsed(
                            mCall.endpoint(), mPrediction, elapsedMillis, mState.nowMillis());
            finish(result, "answered");
        } catch (UnreadableException unreadable) {
            failForeign(unreadable.getMessage());
        }
    }

    /** Fails after a response to another call, as the one that is due may still follow it. */
    private void failForeign(String reason) {
        mState.connections().closeIdle(mCall.endpoint().registration().name());
        fail(reason, true);
    }

    @Override
    public void failed(CallFailure failure) {
        if (failure.nothingSent() && failure != CallFailure.NOT_RELAYED) {
            mCall.endpoint().health().recordUnreachable(mState.nowMillis());
        }
        fail(failure.name(), !failure.nothingSent());
    }

    private void fail(String reason, boolean executed) {
        if (executed) {
            mCall.endpoint().health().recordFailure(mState.nowMillis());
            mRollout.failed();
        }
        mRollout.ended();
        finish(StageCallResult.failed(executed), reason);
    }

    private void finish(StageCallResult result, String outcome) {
        if (mFinished) {
            return;
        }
        mFinished = true;
        mTimeout.cancel(false);
        mBody.release();
        mCall.endpoint().releaseLoad(CALL_LOAD);
        mState.log().request(line("stage-call").with("outcome", outcome));
        mListener.ended(mCall, result);
    }

    private LogLine line(String event) {
        return LogLine.of(event)
                .with("service", mService.name())
                .with("endpoint", mCall.endpoint().registration().name())
                .with("first", mCall.pieces().getFirst().id().request())
                .with("pieces", mCall.pieces().size())
                .with("millis", mState.nowMillis() - mSentMillis);
    }
}
