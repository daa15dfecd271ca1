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
import org.wasabilug.gateway.internal.stage.StageExecutor;
import org.wasabilug.internal.serving.PieceFailure;

/**
 * Serves a stream of events: first its stages, then the stream, event by event.
 *
 * <p>A resumable stream that breaks off goes on at another endpoint after its last whole event.
 */
final class StreamFlow implements AttemptOwner, StagePhase.Listener {
    private static final int CONFLICT = 409;
    private static final long STALL_MILLIS = 900;
    private static final long FIRST_EVENT_MILLIS = 900;
    private static final double FIRST_EVENT_FACTOR = 3;
    private static final long MINIMUM_CHECK_MILLIS = 50;
    private static final long BUSY_RETRY_MILLIS = 400;

    /** A crowd at a stage lasts some seconds, so an early return would meet it again. */
    private static final long CROWDED_RETRY_MILLIS = 1_500;

    private final GatewayState mState;
    private final RequestContext mRequest;
    private final CallerExchange mExchange;
    private final OwnAnswers mOwnAnswers;
    private final Sender mSender;
    private final StagePhase mStages;
    private final InputLocator mInputs;
    private final EventSplitter mEvents = new EventSplitter();
    private ByteArrayOutputStream mFailureBody = new ByteArrayOutputStream();
    private Attempt mAttempt;
    private long mFirstEventMillis = -1;
    private ScheduledFuture<?> mTimeout;

    StreamFlow(
            GatewayState state,
            RequestContext request,
            OwnAnswers ownAnswers,
            StageExecutor executor) {
        mState = state;
        mRequest = request;
        mExchange = request.exchange();
        mOwnAnswers = ownAnswers;
        mSender = new Sender(state, request, this);
        mInputs = new InputLocator(state);
        mStages = new StagePhase(state, executor, request, expectedDomain(), this);
    }

    private String expectedDomain() {
        return mSender.preview(mInputs.here())
                .map(endpoint -> endpoint.registration().failureDomain())
                .orElse("");
    }

    void start() {
        long remaining = mRequest.answerByMillis() - mState.nowMillis();
        mTimeout = mState.loop().schedule(this::timedOut, remaining, TimeUnit.MILLISECONDS);
        mExchange.onClose(this::callerLeft);
        if (mStages.needed()) {
            mStages.start();
        } else {
            send();
        }
    }

    /** Called when the caller became able, or unable, to take more. */
    void writabilityChanged() {
        if (mAttempt != null) {
            mAttempt.readable(mExchange.writable());
        }
    }

    @Override
    public void stagesDone() {
        send();
    }

    @Override
    public void stagesFailed(PieceFailure reason) {
        end();
        if (reason == PieceFailure.LATE && !mSender.mayHaveRun()) {
            mOwnAnswers.notRun(mExchange, "stages are crowded", CROWDED_RETRY_MILLIS);
        } else {
            giveNotRunOrFailed("stage failed: " + reason);
        }
    }

    private void send() {
        mFailureBody = new ByteArrayOutputStream();
        Sender.InputPlace inputs = mInputs.placeOf(mRequest.route(), mStages.inputs());
        Optional<Attempt> attempt = mSender.send(inputs, this::addStreamHeaders);
        if (attempt.isPresent()) {
            mAttempt = attempt.get();
            double slowest = FIRST_EVENT_FACTOR * mAttempt.predictedMillis();
            watch(mAttempt, Math.max(FIRST_EVENT_MILLIS, (long) slowest));
        } else {
            end();
            giveNotRunOrFailed(mSender.unavailable());
        }
    }

    private void addStreamHeaders(HttpHeaders headers) {
        if (!mStages.inputs().isEmpty()) {
            headers.set(mState.protocol().headers().inputs(), String.join(",", mStages.inputs()));
        }
        if (!mEvents.lastEventId().isEmpty()) {
            headers.set(mState.protocol().headers().lastEventId(), mEvents.lastEventId());
        }
    }

    /** Watches an attempt that may be given up for another. */
    private void watch(Attempt attempt, long patienceMillis) {
        if (mRequest.route().idempotent()) {
            mState.loop()
                    .schedule(
                            () -> checkProgress(attempt, patienceMillis),
                            patienceMillis,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void checkProgress(Attempt attempt, long patienceMillis) {
        if (attempt != mAttempt || attempt.over() || !mExchange.open()) {
            return;
        }
        long quiet = mState.nowMillis() - attempt.lastProgressMillis();
        long patience = attempt.streaming() ? STALL_MILLIS : patienceMillis;
        if (quiet < patience) {
            watch(attempt, Math.max(MINIMUM_CHECK_MILLIS, patience - quiet));
        } else if (mSender.mayRepeat()) {
            logStall(attempt, quiet);
            attempt.giveUp();
            sendAgain();
        } else {
            watch(attempt, patience);
        }
    }

    private void logStall(Attempt attempt, long quietMillis) {
        mState.log()
                .request(
                        LogLine.of("attempt-stalled")
                                .with("request", mRequest.id())
                                .with("endpoint", attempt.endpoint().registration().name())
                                .with("streaming", attempt.streaming())
                                .with("quiet", quietMillis));
    }

    @Override
    public void headReceived(Attempt attempt) {
        if (streams(attempt) && !mExchange.answering()) {
            HttpResponse head = attempt.head();
            mExchange.startStream(
                    HttpResponseStatus.valueOf(head.status().code(), head.status().reasonPhrase()),
                    OutgoingHeaders.toCaller(head.headers()));
        }
    }

    @Override
    public void contentReceived(Attempt attempt, ByteBuf content) {
        if (!streams(attempt)) {
            byte[] bytes = new byte[content.readableBytes()];
            content.readBytes(bytes);
            mFailureBody.writeBytes(bytes);
            return;
        }
        if (mFirstEventMillis < 0) {
            mFirstEventMillis = mState.nowMillis();
            mState.log().latency("first-event", mFirstEventMillis - mExchange.receivedMillis());
            mState.stageTimes()
                    .took(
                            mRequest.service().name(),
                            mRequest.rank(),
                            mFirstEventMillis - attempt.sentMillis(),
                            mFirstEventMillis);
        }
        // The endpoint has read its inputs once it writes events.
        mStages.end();
        ByteBuf events = mEvents.take(content);
        if (events.isReadable()) {
            mExchange.write(events);
        }
    }

    @Override
    public void completed(Attempt attempt) {
        if (streams(attempt)) {
            finish(attempt);
        } else if (attempt.notExecuted()) {
            notExecuted(attempt);
        } else if (attempt.head().status().codeClass() == HttpStatusClass.SUCCESS) {
            sendAgainIfIdempotentOr(() -> mOwnAnswers.failed(mExchange, "answer without seal"));
        } else {
            sendAgainIfIdempotentOr(() -> deliverFailure(attempt));
        }
    }

    private void finish(Attempt attempt) {
        end();
        ByteBuf rest = mEvents.rest();
        if (rest.isReadable()) {
            mExchange.write(rest);
        } else {
            rest.release();
        }
        mExchange.finish();
        logAnswer(attempt);
    }

    private void notExecuted(Attempt attempt) {
        mSender.lastDidNotRun();
        boolean inputsGone = attempt.head().status().code() == CONFLICT;
        if (inputsGone && mStages.restart()) {
            return;
        }
        sendAgainOr(() -> giveNotRunOrFailed("endpoint refused"));
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
            sendAgain();
        } else {
            end();
            otherwise.run();
        }
    }

    /** The inputs were given up with the first event, so a stream that goes on needs them anew. */
    private void sendAgain() {
        mEvents.dropPartial();
        if (!mStages.gaveResultsUp()) {
            send();
        } else if (!mStages.restart()) {
            end();
            mOwnAnswers.failed(mExchange, "inputs of the stream are gone");
        }
    }

    private void deliverFailure(Attempt attempt) {
        if (mExchange.answering()) {
            mExchange.abort();
            return;
        }
        HttpResponse head = attempt.head();
        mExchange.answer(
                HttpResponseStatus.valueOf(head.status().code(), head.status().reasonPhrase()),
                OutgoingHeaders.toCaller(head.headers()),
                mFailureBody.toByteArray());
        logAnswer(attempt);
    }

    private void logAnswer(Attempt attempt) {
        long now = mState.nowMillis();
        mState.log()
                .request(
                        LogLine.of("answered")
                                .with("request", mRequest.id())
                                .with("endpoint", attempt.endpoint().registration().name())
                                .with("status", attempt.head().status().code())
                                .with("sent", attempt.sentMillis() - mExchange.receivedMillis())
                                .with("first", mFirstEventMillis - mExchange.receivedMillis())
                                .with("millis", now - mExchange.receivedMillis()));
    }

    private void giveNotRunOrFailed(String reason) {
        if (mSender.mayHaveRun()) {
            mOwnAnswers.failed(mExchange, reason);
        } else {
            mOwnAnswers.notRun(
                    mExchange, reason, Math.max(BUSY_RETRY_MILLIS, mSender.retryAfterMillis()));
        }
    }

    private boolean streams(Attempt attempt) {
        return attempt.head().status().codeClass() == HttpStatusClass.SUCCESS
                && AnswerCheck.genuine(mState, attempt.head());
    }

    private void timedOut() {
        if (mAttempt != null) {
            mAttempt.giveUp();
        }
        mStages.end();
        if (mSender.mayHaveRun()) {
            mOwnAnswers.timedOut(mExchange, "no complete answer in time");
        } else {
            mOwnAnswers.notRun(mExchange, "no endpoint in time", BUSY_RETRY_MILLIS);
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
        mStages.end();
    }
}
