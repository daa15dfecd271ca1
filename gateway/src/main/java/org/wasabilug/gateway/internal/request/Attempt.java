package org.wasabilug.gateway.internal.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.RolloutSend;
import org.wasabilug.gateway.internal.endpoint.CallFailure;
import org.wasabilug.gateway.internal.endpoint.CallListener;
import org.wasabilug.gateway.internal.endpoint.EndpointCall;
import org.wasabilug.gateway.internal.endpoint.OutgoingRequest;
import org.wasabilug.gateway.internal.endpoint.ResponseBuffer;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.EndpointGroup;
import org.wasabilug.internal.serving.EndpointLoad;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.RejectionControl;
import org.wasabilug.internal.serving.Selection;
import org.wasabilug.internal.serving.ServiceSpeeds;

/** One send of a request to one endpoint; maintains the load and health of that endpoint. */
final class Attempt implements CallListener {
    private static final int SERVER_ERROR = 500;

    private final GatewayState mState;
    private final RequestContext mRequest;
    private final CrashGuard mGuard;
    private final EndpointState mEndpoint;
    private final String mSoftwareVersion;
    private final double mPredictedMillis;
    private final ServiceSpeeds.Prediction mPrediction;
    private final AttemptOwner mOwner;
    private final ResponseBuffer mBody;
    private byte[] mWholeBody = {};
    private final long mSentMillis;
    private EndpointLoad mLoad;
    private RejectionControl.Load mLoadAtSend;
    private EndpointCall mCall;
    private HttpResponse mHead;
    private JoinedResponseCheck mJoinedCheck;

    /** Present while a response is in progress whose end isn't marked. */
    private Optional<UnmarkedResponse> mUnmarked = Optional.empty();

    /** How long the response took, in milliseconds; present while it isn't proven whole. */
    private Optional<Long> mUnprovenMillis = Optional.empty();

    private boolean mNotExecuted;
    private boolean mDeliverable;
    private boolean mContentReceived;
    private boolean mAnswerBegun;
    private boolean mAnswerWentOn;
    private boolean mEnded;
    private boolean mOverdue;

    /** Whether a hedge answered first, and this had not failed by then. */
    private boolean mOvertaken;

    private RolloutSend mRollout = RolloutSend.NONE;

    Attempt(
            GatewayState state,
            RequestContext request,
            CrashGuard guard,
            Selection.Chosen chosen,
            AttemptOwner owner) {
        mState = state;
        mRequest = request;
        mGuard = guard;
        mEndpoint = chosen.endpoint();
        mSoftwareVersion = mEndpoint.registration().softwareVersion();
        mPredictedMillis = chosen.costMillis();
        mOwner = owner;
        mBody = new ResponseBuffer(state.responseMemory());
        mSentMillis = state.nowMillis();
        mPrediction =
                state.speedMonitor().speeds().predict(mEndpoint, chosen.workMillis(), mSentMillis);
        mLoad = request.prompt().load();
    }

    void send(HttpHeaders headers) {
        mEndpoint.recordSent(mLoad, mSentMillis);
        mRollout = mState.rollouts().sent(mEndpoint, mRequest.route().name());
        mLoadAtSend = mEndpoint.loadAndSlots(mRequest.service());
        OutgoingRequest outgoing =
                new OutgoingRequest(
                        mRequest.id(),
                        mRequest.exchange().head().method(),
                        mRequest.exchange().head().uri(),
                        headers,
                        mRequest.exchange().body(),
                        mRequest.route().idempotent());
        mCall = mState.connections().send(mEndpoint.registration(), outgoing, this);
    }

    EndpointState endpoint() {
        return mEndpoint;
    }

    /** Returns the software version that the endpoint was registered with when this was sent. */
    String softwareVersion() {
        return mSoftwareVersion;
    }

    HttpResponse head() {
        return mHead;
    }

    /** Returns whether the endpoint reported that it did not run the request. */
    boolean notExecuted() {
        return mNotExecuted;
    }

    /** Returns whether the response may be forwarded to the caller. */
    boolean deliverable() {
        return mDeliverable;
    }

    double predictedMillis() {
        return mPredictedMillis;
    }

    long sentMillis() {
        return mSentMillis;
    }

    /** Returns whether nothing more is to be expected of the attempt. */
    boolean ended() {
        return mEnded;
    }

    /**
     * Returns whether the endpoint is cut off from the connection that carries the request. The
     * attempt then keeps no other one back and does not count as one.
     */
    boolean cutOff() {
        return !mNotExecuted
                && mCall != null
                && mCall.direct()
                && mState.reachability().isSilent(EndpointGroup.of(mEndpoint.registration()));
    }

    void setReadable(boolean readable) {
        mCall.setReadable(readable);
    }

    void cancel() {
        if (!mEnded) {
            end();
            recordCancelled();
            mCall.cancel();
        }
    }

    /**
     * A version whose responses come too late to be waited for is no better than one that fails.
     * The time until the end is a lower bound where the response was late or a hedge was sooner;
     * without it, hedges would hide the slow responses of a version.
     */
    private void recordCancelled() {
        long now = mState.nowMillis();
        if (mOverdue) {
            mRollout.failed();
        } else if (mOvertaken || now >= mRequest.objectiveMillis()) {
            mRollout.succeeded(now - mSentMillis);
        } else {
            mRollout.ended();
        }
    }

    /** Records a failure for the endpoint, as its response is overdue; the attempt goes on. */
    void recordOverdue() {
        mOverdue = true;
        mEndpoint.health().recordFailure(mState.nowMillis());
    }

    /**
     * Makes the gateway check whether it still reaches the endpoint if there is no response yet.
     */
    void suspectIfSilent() {
        if (mHead == null && !mEnded) {
            mState.reachability().suspect(mEndpoint.registration());
        }
    }

    /**
     * Records that a hedge answered first. Content may never arrive here, so the time until now is
     * recorded as a lower bound of the endpoint's time, unless that would make it look faster.
     */
    void recordOvertaken() {
        mOvertaken = !failedOrNotExecuted();
        suspectIfSilent();
        if (mContentReceived || !mOvertaken || mPredictedMillis <= 1) {
            return;
        }
        long now = mState.nowMillis();
        double ratio = latencyRatio(now);
        if (ratio > Math.max(1, mEndpoint.health().slowness(now))) {
            mEndpoint.health().recordLatencyRatio(ratio, now);
        }
    }

    private boolean failedOrNotExecuted() {
        return mHead != null && (mNotExecuted || mHead.status().code() >= SERVER_ERROR);
    }

    /** Returns the time taken, compared with the prediction. */
    private double latencyRatio(long now) {
        return (now - mSentMillis) / (mPredictedMillis + 40);
    }

    /** Cancels an attempt that timed out and records a failure for the endpoint. */
    void abandon() {
        if (!mEnded) {
            suspectIfSilent();
            recordOverdue();
            cancel();
        }
    }

    /** Called when the response has brought a first event, or any content of another kind. */
    void answerBegun() {
        mAnswerBegun = true;
    }

    /** Buffers content of a response that is delivered as a whole. */
    void buffer(ByteBuf content) {
        answerBegun();
        if (!mBody.append(content)) {
            reject(CallFailure.TOO_LARGE);
        }
    }

    /** Returns the buffered content of a completed response. */
    byte[] bufferedBody() {
        return mWholeBody;
    }

    /** Returns the check that the response goes on with no other one; null before its head. */
    JoinedResponseCheck joinedCheck() {
        return mJoinedCheck;
    }

    /** Gives up a response that can't be used and records a failure for the endpoint. */
    void reject(CallFailure failure) {
        mCall.cancel();
        failed(failure);
    }

    @Override
    public void responseIgnored(HttpResponse ignored) {
        HttpHeaders headers = ignored.headers();
        mState.log()
                .request(
                        LogLine.of("response-ignored")
                                .with("request", mRequest.id())
                                .with("endpoint", mEndpoint.registration().name())
                                .with("status", ignored.status().code())
                                .with(
                                        "of",
                                        headers.get(mState.protocol().headers().requestId(), "")));
    }

    /** Adds to a log line which response was delivered, and how it arrived. */
    LogLine traced(LogLine line) {
        line.with("status", mHead.status().code())
                .with("seal", mHead.headers().get(mState.protocol().headers().seal(), ""));
        mCall.trace().ifPresent(trace -> trace.addTo(line));
        return line;
    }

    @Override
    public void headReceived(HttpResponse head) {
        mHead = head;
        mJoinedCheck = new JoinedResponseCheck(mState, mCall, head);
        mState.recordResponse(mEndpoint, head);
        mNotExecuted = mState.notExecuted(head);
        if (!mNotExecuted) {
            mState.rejectionMonitor().recordAccepted(mEndpoint, mLoadAtSend);
        }
        mDeliverable = ResponseCheck.deliverable(mState, head);
        if (mCall.endsWithConnection(head) && !mNotExecuted) {
            mUnmarked = Optional.of(new UnmarkedResponse(mState, mRequest.id(), mEndpoint, mCall));
        }
    }

    @Override
    public void contentReceived(ByteBuf content) {
        if (!mContentReceived) {
            mContentReceived = true;
            firstContent();
        }
        if (mAnswerBegun) {
            answerWentOn();
        }
        mOwner.contentReceived(this, content);
    }

    private void firstContent() {
        EndpointLoad promptLoad = new EndpointLoad(0, 0, mLoad.unreadTokens());
        mEndpoint.releaseLoad(promptLoad);
        mLoad = new EndpointLoad(mLoad.running(), mLoad.tokens(), 0);
        if (!failedOrNotExecuted() && mPredictedMillis > 1) {
            long now = mState.nowMillis();
            mEndpoint.health().recordLatencyRatio(latencyRatio(now), now);
            mState.speedMonitor()
                    .speeds()
                    .recordElapsed(mEndpoint, mPrediction, now - mSentMillis, now);
        }
    }

    @Override
    public void completed() {
        if (mEnded) {
            return;
        }
        if (!mOwner.whole(this)) {
            failed(CallFailure.CUT_SHORT);
            return;
        }
        long millis = mState.nowMillis() - mSentMillis;
        // The connection of an endpoint whose process was killed may end in the same way.
        mUnmarked.ifPresentOrElse(
                unmarked -> unmarked.checkEnd(verdict -> endChecked(verdict, millis)),
                () -> finish(millis));
    }

    private void endChecked(EndVerdict verdict, long millis) {
        if (mEnded) {
            return;
        }
        releaseUnmarked();
        switch (verdict) {
            case WHOLE -> finish(millis);
            case LIKELY_WHOLE -> askAnother(millis);
            default -> failed(CallFailure.ENDED_WITH_ENDPOINT);
        }
    }

    /** What only seems whole is delivered if no other endpoint can tell. */
    private void askAnother(long millis) {
        mUnprovenMillis = Optional.of(millis);
        if (!mOwner.askAnother(this)) {
            settle();
        }
    }

    /** Returns whether the response has ended and is likely, but not proven, to be whole. */
    boolean unproven() {
        return mUnprovenMillis.isPresent();
    }

    /** Takes an unproven response for whole, as no other endpoint will tell. */
    void settle() {
        Optional<Long> millis = mUnprovenMillis;
        mUnprovenMillis = Optional.empty();
        millis.ifPresent(this::finish);
    }

    private void finish(long millis) {
        mWholeBody = mBody.toByteArray();
        mJoinedCheck.checkEnd(mWholeBody, joined -> joinedChecked(joined, millis));
    }

    private void joinedChecked(boolean joined, long millis) {
        if (mEnded) {
            return;
        }
        if (joined) {
            mState.connections().closeIdle(mEndpoint.registration().name());
            failed(CallFailure.GARBLED);
            return;
        }
        end();
        answerWentOn();
        if (mNotExecuted) {
            mRollout.ended();
        } else if (mHead.status().code() >= SERVER_ERROR || !mDeliverable) {
            mRollout.failed();
        } else {
            mRollout.succeeded(millis);
        }
        recordHealth(millis);
        mOwner.completed(this);
    }

    private void recordHealth(long millis) {
        if (!mNotExecuted) {
            if (mHead.status().code() >= SERVER_ERROR) {
                mEndpoint.health().recordFailure(mState.nowMillis());
            } else {
                mEndpoint.health().recordSuccess(millis);
            }
        }
    }

    /** An endpoint has survived the beginning of an answer that goes on after it. */
    private void answerWentOn() {
        if (!mAnswerWentOn && !mNotExecuted && mHead.status().code() < SERVER_ERROR) {
            mAnswerWentOn = true;
            mGuard.answered();
        }
    }

    @Override
    public void failed(CallFailure failure) {
        if (mEnded) {
            return;
        }
        end();
        recordFailure(failure);
        if (!mAnswerWentOn && failure.mayBeCrash()) {
            long endedMillis = mState.nowMillis();
            new CrashCheck(mState, mEndpoint.registration())
                    .schedule(() -> mGuard.crashed(mEndpoint.registration(), endedMillis));
        }
        mOwner.failed(this, failure);
    }

    private void recordFailure(CallFailure failure) {
        if (failure.nothingSent()) {
            mRollout.ended();
        } else {
            mRollout.failed();
        }
        if (failure == CallFailure.NOT_RELAYED) {
            return;
        }
        if (failure.nothingSent()) {
            mEndpoint.health().recordUnreachable(mState.nowMillis());
        } else {
            mEndpoint.health().recordFailure(mState.nowMillis());
        }
    }

    private void releaseUnmarked() {
        mUnmarked.ifPresent(UnmarkedResponse::release);
        mUnmarked = Optional.empty();
    }

    private void end() {
        mEnded = true;
        mUnprovenMillis = Optional.empty();
        releaseUnmarked();
        mBody.release();
        mEndpoint.releaseLoad(mLoad);
    }
}
