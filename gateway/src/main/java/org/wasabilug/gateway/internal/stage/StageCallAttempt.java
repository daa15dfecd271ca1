package org.wasabilug.gateway.internal.stage;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.endpoint.CallFailure;
import org.wasabilug.gateway.internal.endpoint.CallListener;
import org.wasabilug.gateway.internal.endpoint.EndpointCall;
import org.wasabilug.gateway.internal.endpoint.OutgoingRequest;
import org.wasabilug.gateway.internal.endpoint.ResponseBuffer;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.protocol.UnreadableException;
import org.wasabilug.internal.serving.EndpointLoad;
import org.wasabilug.internal.serving.PieceWork;
import org.wasabilug.internal.serving.StageCall;
import org.wasabilug.serving.ServiceSpecification;
import org.wasabilug.serving.StageCapacity;

/** One call with pieces to one endpoint. */
final class StageCallAttempt implements CallListener {
    private static final int OK = 200;
    private static final double TIMEOUT_FACTOR = 4;
    private static final long TIMEOUT_MARGIN_MILLIS = 400;
    private static final EndpointLoad CALL_LOAD = new EndpointLoad(1, 0, 0);

    private final GatewayState mState;
    private final ServiceSpecification mService;
    private final StageCall mCall;
    private final BiConsumer<StageCall, StageCallResult> mReceiver;
    private final ResponseBuffer mBody;
    private final long mSentMillis;
    private EndpointCall mExchange;
    private ScheduledFuture<?> mTimeout;
    private int mStatus;
    private boolean mNotExecuted;
    private boolean mFinished;

    StageCallAttempt(
            GatewayState state,
            ServiceSpecification service,
            StageCall call,
            BiConsumer<StageCall, StageCallResult> receiver) {
        mState = state;
        mService = service;
        mCall = call;
        mReceiver = receiver;
        mBody = new ResponseBuffer(state.responseMemory());
        mSentMillis = state.nowMillis();
    }

    void start() {
        for (PieceWork work : mCall.pieces()) {
            if (!work.repeat()) {
                mState.retryBudget().recordFirstAttempt(work.service(), mSentMillis);
            }
        }
        mCall.endpoint().recordSent(CALL_LOAD, mSentMillis);
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
        long timeout = (long) (TIMEOUT_FACTOR * expectedMillis()) + TIMEOUT_MARGIN_MILLIS;
        mTimeout = mState.loop().schedule(this::timedOut, timeout, TimeUnit.MILLISECONDS);
        mExchange = mState.connections().send(mCall.endpoint().registration(), request, this);
    }

    private double expectedMillis() {
        StageCapacity capacity = mService.stage().orElseThrow();
        return capacity.callMillis() + mCall.pieces().size() * capacity.pieceMillis();
    }

    /** Cancels a call whose response can no longer be expected. */
    void abandon() {
        mExchange.cancel();
        fail("failure domain unreachable", true);
    }

    StageCall call() {
        return mCall;
    }

    private void timedOut() {
        mExchange.cancel();
        mCall.endpoint().health().recordLatencyRatio(TIMEOUT_FACTOR, mState.nowMillis());
        mState.domainMonitor().recordNoResponse(mCall.endpoint());
        fail("timeout", true);
    }

    @Override
    public void headReceived(HttpResponse head) {
        mState.domainMonitor().recordResponse(mCall.endpoint());
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
            double elapsedMillis = mState.nowMillis() - mSentMillis;
            mCall.endpoint().health().recordSuccess(elapsedMillis);
            mCall.endpoint()
                    .health()
                    .recordLatencyRatio(elapsedMillis / expectedMillis(), mState.nowMillis());
            finish(new StageCallResult(outcomes, true), "answered");
        } catch (UnreadableException unreadable) {
            fail(unreadable.getMessage(), true);
        }
    }

    @Override
    public void failed(CallFailure failure) {
        if (failure.nothingSent()) {
            mCall.endpoint().health().recordUnreachable(mState.nowMillis());
        }
        if (failure == CallFailure.SILENT) {
            mState.domainMonitor().recordNoResponse(mCall.endpoint());
        }
        fail(failure.name(), !failure.nothingSent());
    }

    private void fail(String reason, boolean executed) {
        if (executed) {
            mCall.endpoint().health().recordFailure(mState.nowMillis());
        }
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
        mState.log()
                .request(
                        LogLine.of("stage-call")
                                .with("service", mService.name())
                                .with("endpoint", mCall.endpoint().registration().name())
                                .with("first", mCall.pieces().getFirst().id().request())
                                .with("pieces", mCall.pieces().size())
                                .with("millis", mState.nowMillis() - mSentMillis)
                                .with("outcome", outcome));
        mReceiver.accept(mCall, result);
    }
}
