package org.wasabilug.gateway.internal.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.RetryReason;
import org.wasabilug.gateway.internal.endpoint.CallFailure;
import org.wasabilug.gateway.internal.endpoint.ResponseFraming;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.stage.StageExecutor;
import org.wasabilug.internal.serving.PieceFailure;

/**
 * Serves an event stream: first its stages, then the stream, event by event.
 *
 * <p>A resumable stream that breaks off resumes at another endpoint after its last complete event.
 * If its endpoint falls silent, another one is asked as well, and the stream goes on at whichever
 * brings the next event first.
 */
final class StreamFlow extends RequestFlow implements StagePhase.Listener {
    private static final int CONFLICT = 409;

    /** A sound endpoint may be silent for a second. */
    private static final long STALL_TIMEOUT_MILLIS = 1_500;

    private static final long MIN_FIRST_EVENT_TIMEOUT_MILLIS = 900;
    private static final double FIRST_EVENT_FACTOR = 3;
    private static final long MIN_CHECK_MILLIS = 50;
    private static final long BUSY_RETRY_MILLIS = 400;

    /** Soon, as another instance may know the stream. */
    private static final long RESUME_RETRY_MILLIS = 200;

    private final StagePhase mStages;
    private final StreamSoftwareVersion mSoftwareVersion;
    private final InputLocator mInputs;
    private final Map<Attempt, EventReader> mReaders = new HashMap<>();
    private String mLastEventId = "";

    /** The attempt that brought the last events. */
    private Attempt mWritingAttempt;

    private long mFirstEventMillis = -1;

    StreamFlow(
            GatewayState state,
            RequestContext request,
            CrashGuard guard,
            GatewayResponses gatewayResponses,
            StageExecutor executor,
            StreamOriginRegistry origins) {
        super(state, request, guard, gatewayResponses, BUSY_RETRY_MILLIS);
        mSoftwareVersion =
                new StreamSoftwareVersion(request, sender(), origins, state.protocol().headers());
        mInputs = new InputLocator(state);
        mStages = new StagePhase(state, executor, request, this);
    }

    @Override
    void begin() {
        exchange().onWritabilityChange(this::writabilityChanged);
        if (mSoftwareVersion.resumed()) {
            mSoftwareVersion.find(this::beginStages, this::refuse);
        } else {
            beginStages();
        }
    }

    private void refuse(String reason) {
        end();
        respondNotRunOrFailed(reason, RESUME_RETRY_MILLIS);
    }

    private void beginStages() {
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

    /** Reads from the endpoints no faster than the caller does. */
    private void writabilityChanged() {
        for (Attempt attempt : pending()) {
            attempt.setReadable(exchange().writable());
            mReaders.get(attempt).readOn(state().nowMillis());
        }
    }

    @Override
    public void stagesDone() {
        if (pending().isEmpty()) {
            send();
        } else {
            sendHedge(RetryReason.OVERDUE_ATTEMPT);
            settleUnproven();
        }
    }

    @Override
    public void stagesFailed(PieceFailure reason) {
        if (!pending().isEmpty()) {
            mStages.end();
            settleUnproven();
            return;
        }
        end();
        if (reason == PieceFailure.LATE) {
            respondNotRunOrFailed("stages are congested", mStages.retryAfterMillis());
        } else {
            respondNotRunOrFailed("stage failed: " + reason);
        }
    }

    @Override
    void send() {
        Optional<Attempt> attempt = sender().send(inputLocation(), this::addStreamHeaders);
        attempt.ifPresent(this::sent);
        if (attempt.isEmpty()) {
            end();
            respondNotRunOrFailed(sender().unavailableReason());
        }
    }

    /** A stream that was begun before is not hedged, as its next event takes another time. */
    @Override
    boolean hedgeable() {
        return !mSoftwareVersion.resumed();
    }

    /** A hedge needs the results of the stages, which are released once a response has begun. */
    @Override
    boolean awaitsBeginning(Attempt attempt) {
        return isOnlyPending(attempt)
                && mFirstEventMillis < 0
                && !exchange().responseStarted()
                && !mStages.inProgress()
                && !mStages.resultsReleased();
    }

    @Override
    Sender.InputLocation inputLocation() {
        return mInputs.locate(request().route(), mStages.inputs());
    }

    private void sent(Attempt attempt) {
        if (!started(attempt)) {
            return;
        }
        mReaders.put(
                attempt,
                new EventReader(state().responseMemory(), attempt.sentMillis(), lastEventId()));
        double timeout = FIRST_EVENT_FACTOR * attempt.predictedMillis();
        watch(attempt, Math.max(MIN_FIRST_EVENT_TIMEOUT_MILLIS, (long) timeout));
    }

    /** Returns the id of the last event that the caller has; empty if it has none. */
    private String lastEventId() {
        String asked = state().protocol().headers().lastEventId();
        return mLastEventId.isEmpty() ? exchange().head().headers().get(asked, "") : mLastEventId;
    }

    private void addStreamHeaders(HttpHeaders headers) {
        if (!mStages.inputs().isEmpty()) {
            headers.set(state().protocol().headers().inputs(), String.join(",", mStages.inputs()));
        }
        if (!mLastEventId.isEmpty()) {
            headers.set(state().protocol().headers().lastEventId(), mLastEventId);
        }
    }

    /** Monitors an attempt, which another one may overtake if the request is idempotent. */
    private void watch(Attempt attempt, long firstEventTimeoutMillis) {
        state().loop()
                .schedule(
                        () -> checkProgress(attempt, firstEventTimeoutMillis),
                        firstEventTimeoutMillis,
                        TimeUnit.MILLISECONDS);
    }

    private void checkProgress(Attempt attempt, long firstEventTimeoutMillis) {
        if (!isPending(attempt)) {
            return;
        }
        EventReader reader = mReaders.get(attempt);
        // While the caller does not read, neither is the endpoint's response read.
        long idleMillis = exchange().writable() ? reader.idleMillis(state().nowMillis()) : 0;
        long timeout = reader.delivered() ? STALL_TIMEOUT_MILLIS : firstEventTimeoutMillis;
        if (idleMillis < timeout) {
            watch(attempt, Math.max(MIN_CHECK_MILLIS, timeout - idleMillis));
            return;
        }
        attempt.suspectIfSilent();
        if (mayHedge(attempt) && beginHedge()) {
            logStall(attempt, idleMillis);
            attempt.recordOverdue();
        }
        watch(attempt, timeout);
    }

    private boolean mayHedge(Attempt attempt) {
        return request().route().idempotent() && isOnlyHope(attempt) && !mStages.inProgress();
    }

    /**
     * Sends the stream to another endpoint as well, after its stages if their results are no longer
     * available; returns false if that is not possible now.
     */
    private boolean beginHedge() {
        if (!canResume()) {
            return false;
        }
        if (mStages.resultsReleased()) {
            return sender().canHedge(inputLocation()) && mStages.restartForHedge();
        }
        return sendHedge(RetryReason.OVERDUE_ATTEMPT).isPresent();
    }

    /** Asks for what follows the last event: nothing if the stream is whole. */
    @Override
    boolean confirm() {
        return !mStages.inProgress() && beginHedge();
    }

    @Override
    Optional<Attempt> sendHedge(RetryReason reason) {
        Optional<Attempt> hedge =
                sender().sendHedge(inputLocation(), this::addStreamHeaders, reason);
        hedge.ifPresent(this::sent);
        return hedge;
    }

    private void logStall(Attempt attempt, long idleMillis) {
        state().log()
                .request(
                        LogLine.of("attempt-stalled")
                                .with("request", request().id())
                                .with("endpoint", attempt.endpoint().registration().name())
                                .with("streaming", mReaders.get(attempt).delivered())
                                .with("quiet", idleMillis));
    }

    @Override
    public void contentReceived(Attempt attempt, ByteBuf content) {
        if (!streams(attempt)) {
            attempt.buffer(content);
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
        // An endpoint that writes events has read its inputs.
        mStages.end();
        EventReader reader = mReaders.get(attempt);
        ByteBuf arrived = reader.append(content, state().nowMillis());
        Optional<ByteBuf> events = attempt.joinedCheck().add(arrived);
        if (events.isEmpty()) {
            attempt.reject(CallFailure.GARBLED);
            return;
        }
        passOn(attempt, events.get());
        if (!reader.inOrder()) {
            attempt.reject(CallFailure.OUT_OF_ORDER);
        } else if (!reader.keepsPartial(attempt.joinedCheck().heldBytes())) {
            attempt.reject(CallFailure.TOO_LARGE);
        }
    }

    private void passOn(Attempt attempt, ByteBuf events) {
        if (!events.isReadable()) {
            return;
        }
        EventReader reader = mReaders.get(attempt);
        goOnWith(attempt);
        logResumption(attempt, reader);
        attempt.answerBegun();
        mLastEventId = reader.lastEventId().isEmpty() ? mLastEventId : reader.lastEventId();
        startResponse(attempt);
        mSoftwareVersion.eventReceived(attempt);
        exchange().write(events);
    }

    /** Logs where the stream goes on, before the first events of a later attempt. */
    private void logResumption(Attempt attempt, EventReader reader) {
        if (mWritingAttempt != attempt && !mLastEventId.isEmpty()) {
            state().log()
                    .request(
                            LogLine.of("stream-resumed")
                                    .with("request", request().id())
                                    .with("endpoint", attempt.endpoint().registration().name())
                                    .with("after", mLastEventId)
                                    .with("next", reader.firstEventId()));
        }
        mWritingAttempt = attempt;
    }

    /**
     * Sends the head of the endpoint that brings the first event, unless a head was sent before.
     */
    private void startResponse(Attempt attempt) {
        if (!exchange().responseStarted()) {
            HttpResponse head = attempt.head();
            exchange().startStream(head.status(), OutgoingHeaders.toCaller(head.headers()));
        }
    }

    @Override
    public boolean whole(Attempt attempt) {
        if (!streams(attempt)) {
            return true;
        }
        boolean endMarked = ResponseFraming.of(attempt.head()) != ResponseFraming.CLOSE;
        EventReader reader = mReaders.get(attempt);
        boolean begun = reader.delivered() || reader.resumes();
        return !reader.insideEvent() && (endMarked || begun);
    }

    @Override
    public void completed(Attempt attempt) {
        if (streams(attempt)) {
            completeStream(attempt);
        } else if (attempt.notExecuted()) {
            notExecuted(attempt);
        } else if (attempt.head().status().codeClass() == HttpStatusClass.SUCCESS) {
            retryIfIdempotentOr(attempt, () -> respondFailed("endpoint response has no seal"));
        } else {
            retryIfIdempotentOr(attempt, () -> deliverFailure(attempt));
        }
    }

    private void completeStream(Attempt attempt) {
        passOn(attempt, attempt.joinedCheck().takeHeld());
        goOnWith(attempt);
        end();
        startResponse(attempt);
        exchange().finish();
        logResponse(attempt);
    }

    private void notExecuted(Attempt attempt) {
        sender().sendNotExecuted();
        boolean inputsGone = attempt.head().status().code() == CONFLICT;
        if (inputsGone && isOnlyPending(attempt)) {
            // A retry then runs the stages again.
            mStages.end();
        }
        retryOr(attempt, () -> respondNotRunOrFailed("endpoint refused the request"));
    }

    /**
     * Resumes the stream. Its inputs were released with the first event, so they are produced anew.
     */
    @Override
    void retry() {
        if (!canResume()) {
            end();
            respondFailed("events without ids can't be resumed");
        } else if (mStages.inProgress()) {
            // The stages of a hedge; the stream goes on after them.
            return;
        } else if (!mStages.resultsReleased()) {
            send();
        } else if (!mStages.restart()) {
            end();
            respondNotRunOrFailed("stage results of the stream are no longer available");
        }
    }

    /** Returns whether another endpoint can tell where to go on. */
    private boolean canResume() {
        return !exchange().responseStarted() || !mLastEventId.isEmpty();
    }

    private void deliverFailure(Attempt attempt) {
        if (exchange().responseStarted()) {
            exchange().abort();
            return;
        }
        deliverBuffered(attempt);
        logResponse(attempt);
    }

    private void logResponse(Attempt attempt) {
        long now = state().nowMillis();
        state().log()
                .request(
                        answeredLine(attempt)
                                .with("sent", attempt.sentMillis() - exchange().receivedMillis())
                                .with("first", firstEventMillis())
                                .with("framing", ResponseFraming.of(attempt.head()).name())
                                .with("millis", now - exchange().receivedMillis()));
    }

    /** Returns when the first event arrived, since the request did; -1 if none has. */
    private long firstEventMillis() {
        return mFirstEventMillis < 0 ? -1 : mFirstEventMillis - exchange().receivedMillis();
    }

    private boolean streams(Attempt attempt) {
        return attempt.head().status().codeClass() == HttpStatusClass.SUCCESS
                && attempt.deliverable();
    }

    @Override
    void releaseResources() {
        mReaders.values().forEach(EventReader::release);
        mStages.end();
    }

    @Override
    void releaseResources(Attempt attempt) {
        EventReader reader = mReaders.remove(attempt);
        if (reader != null) {
            reader.release();
        }
    }
}
