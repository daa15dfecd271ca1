package org.wasabilug.gateway.internal.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.stage.StageExecutor;
import org.wasabilug.internal.serving.PieceFailure;

/**
 * Serves a stream of events: first its stages, then the stream, event by event.
 *
 * <p>A resumable stream that breaks off goes on at another endpoint after its last whole event.
 */
final class StreamFlow extends RequestFlow implements StagePhase.Listener {
    private static final int CONFLICT = 409;
    private static final long STALL_TIMEOUT_MILLIS = 900;
    private static final long MIN_FIRST_EVENT_TIMEOUT_MILLIS = 900;
    private static final double FIRST_EVENT_FACTOR = 3;
    private static final long MIN_CHECK_MILLIS = 50;
    private static final long BUSY_RETRY_MILLIS = 400;

    /** A crowd at a stage lasts some seconds, so an early return would meet it again. */
    private static final long CONGESTED_RETRY_MILLIS = 1_500;

    private final StagePhase mStages;
    private final InputLocator mInputs;
    private final EventSplitter mEvents = new EventSplitter();
    private long mFirstEventMillis = -1;

    StreamFlow(
            GatewayState state,
            RequestContext request,
            GatewayResponses ownAnswers,
            StageExecutor executor) {
        super(state, request, ownAnswers, BUSY_RETRY_MILLIS);
        mInputs = new InputLocator(state);
        mStages = new StagePhase(state, executor, request, this);
    }

    @Override
    void begin() {
        if (mStages.needed()) {
            mStages.start(expectedDomain());
        } else {
            send();
        }
    }

    private String expectedDomain() {
        return sender().preview(mInputs.localLocation())
                .map(endpoint -> endpoint.registration().failureDomain())
                .orElse("");
    }

    /** Called when the caller became able, or unable, to take more. */
    void writabilityChanged() {
        attempt().ifPresent(attempt -> attempt.setReadable(exchange().writable()));
    }

    @Override
    public void stagesDone() {
        send();
    }

    @Override
    public void stagesFailed(PieceFailure reason) {
        end();
        if (reason == PieceFailure.LATE) {
            respondNotRunOrFailed("stages are crowded", CONGESTED_RETRY_MILLIS);
        } else {
            respondNotRunOrFailed("stage failed: " + reason);
        }
    }

    @Override
    void send() {
        Sender.InputLocation inputs = mInputs.locate(request().route(), mStages.inputs());
        Optional<Attempt> attempt = sender().send(inputs, this::addStreamHeaders);
        if (attempt.isPresent()) {
            started(attempt.get());
            double slowest = FIRST_EVENT_FACTOR * attempt.get().predictedMillis();
            watch(attempt.get(), Math.max(MIN_FIRST_EVENT_TIMEOUT_MILLIS, (long) slowest));
        } else {
            end();
            respondNotRunOrFailed(sender().unavailableReason());
        }
    }

    private void addStreamHeaders(HttpHeaders headers) {
        if (!mStages.inputs().isEmpty()) {
            headers.set(state().protocol().headers().inputs(), String.join(",", mStages.inputs()));
        }
        if (!mEvents.lastEventId().isEmpty()) {
            headers.set(state().protocol().headers().lastEventId(), mEvents.lastEventId());
        }
    }

    /** Watches an attempt that may be given up for another. */
    private void watch(Attempt attempt, long patienceMillis) {
        if (request().route().idempotent()) {
            state().loop()
                    .schedule(
                            () -> checkProgress(attempt, patienceMillis),
                            patienceMillis,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void checkProgress(Attempt attempt, long patienceMillis) {
        if (!isPending(attempt)) {
            return;
        }
        long quiet = state().nowMillis() - attempt.lastProgressMillis();
        long patience = attempt.streaming() ? STALL_TIMEOUT_MILLIS : patienceMillis;
        if (quiet < patience) {
            watch(attempt, Math.max(MIN_CHECK_MILLIS, patience - quiet));
        } else if (sender().tryAcquireRetry()) {
            logStall(attempt, quiet);
            attempt.abandon();
            retry();
        } else {
            watch(attempt, patience);
        }
    }

    private void logStall(Attempt attempt, long quietMillis) {
        state().log()
                .request(
                        LogLine.of("attempt-stalled")
                                .with("request", request().id())
                                .with("endpoint", attempt.endpoint().registration().name())
                                .with("streaming", attempt.streaming())
                                .with("quiet", quietMillis));
    }

    @Override
    public void headReceived(Attempt attempt) {
        if (streams(attempt) && !exchange().responseStarted()) {
            HttpResponse head = attempt.head();
            exchange().startStream(head.status(), OutgoingHeaders.toCaller(head.headers()));
        }
    }

    @Override
    public void contentReceived(Attempt attempt, ByteBuf content) {
        if (!streams(attempt)) {
            buffer(content);
            return;
        }
        if (mFirstEventMillis < 0) {
            mFirstEventMillis = state().nowMillis();
            state().log().latency("first-event", mFirstEventMillis - exchange().receivedMillis());
            state().stageTimes()
                    .recordTime(
                            request().service().name(),
                            request().rank(),
                            mFirstEventMillis - attempt.sentMillis(),
                            mFirstEventMillis);
        }
        // The endpoint has read its inputs once it writes events.
        mStages.end();
        ByteBuf events = mEvents.append(content);
        if (events.isReadable()) {
            exchange().write(events);
        }
    }

    @Override
    public void completed(Attempt attempt) {
        if (streams(attempt)) {
            completeStream(attempt);
        } else if (attempt.notExecuted()) {
            notExecuted(attempt);
        } else if (attempt.head().status().codeClass() == HttpStatusClass.SUCCESS) {
            retryIfIdempotentOr(() -> respondFailed("answer without seal"));
        } else {
            retryIfIdempotentOr(() -> deliverFailure(attempt));
        }
    }

    private void completeStream(Attempt attempt) {
        end();
        ByteBuf rest = mEvents.remainder();
        if (rest.isReadable()) {
            exchange().write(rest);
        } else {
            rest.release();
        }
        exchange().finish();
        logAnswer(attempt);
    }

    private void notExecuted(Attempt attempt) {
        sender().lastSendNotExecuted();
        boolean inputsGone = attempt.head().status().code() == CONFLICT;
        if (inputsGone && mStages.restart()) {
            return;
        }
        retryOr(() -> respondNotRunOrFailed("endpoint refused"));
    }

    /** The inputs were given up with the first event, so a stream that goes on needs them anew. */
    @Override
    void retry() {
        mEvents.discardPartial();
        if (!mStages.resultsReleased()) {
            send();
        } else if (!mStages.restart()) {
            end();
            respondFailed("inputs of the stream are gone");
        }
    }

    private void deliverFailure(Attempt attempt) {
        if (exchange().responseStarted()) {
            exchange().abort();
            return;
        }
        deliverBuffered(attempt);
        logAnswer(attempt);
    }

    private void logAnswer(Attempt attempt) {
        long now = state().nowMillis();
        state().log()
                .request(
                        answeredLine(attempt)
                                .with("sent", attempt.sentMillis() - exchange().receivedMillis())
                                .with("first", mFirstEventMillis - exchange().receivedMillis())
                                .with("millis", now - exchange().receivedMillis()));
    }

    private boolean streams(Attempt attempt) {
        return attempt.head().status().codeClass() == HttpStatusClass.SUCCESS
                && attempt.deliverable();
    }

    @Override
    void releaseResources() {
        mStages.end();
    }
}
