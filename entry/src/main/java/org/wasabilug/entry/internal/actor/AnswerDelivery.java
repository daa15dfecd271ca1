package org.wasabilug.entry.internal.actor;

import java.util.Optional;
import java.util.function.Consumer;
import org.wasabilug.endpoint.EndpointClient;
import org.wasabilug.entry.EntryLimits;
import org.wasabilug.entry.internal.http.EntryReporter;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.StageCall;
import org.wasabilug.model.Refusal;
import org.wasabilug.model.RequestId;

/** Forwards results from endpoints to callers, and pauses the endpoints of slow callers. */
final class AnswerDelivery {
    private final EndpointClient mEndpoints;
    private final Consumer<InstanceEvent> mEvents;
    private final OpenAnswers mAnswers = new OpenAnswers();
    private final AttemptTracker mAttempts = new AttemptTracker();
    private final RequestHistory mHistory;
    private final int mMaximumStreams;
    private final InstanceMetrics mMetrics;

    AnswerDelivery(
            EndpointClient endpoints,
            Consumer<InstanceEvent> events,
            EntryLimits limits,
            InstanceMetrics metrics) {
        mEndpoints = endpoints;
        mEvents = events;
        mHistory = new RequestHistory(limits.rememberedRequests());
        mMaximumStreams = limits.maximumStreams();
        mMetrics = metrics;
        metrics.registerInFlightGauge(mAnswers);
    }

    /**
     * Registers a request that is about to be submitted to the core.
     *
     * @return the refusal if the request must not reach the core; empty otherwise
     */
    Optional<Refusal> open(InstanceMessage.RequestArrived message) {
        RequestId request = message.request().id();
        Optional<RequestRecord> earlier = mHistory.find(request);
        if (earlier.isPresent() && !earlier.get().fingerprint().equals(message.fingerprint())) {
            return Optional.of(EntryReporter.idempotencyConflict());
        }
        if (mAnswers.isOpen(request)) {
            return Optional.of(EntryReporter.alreadyRunning());
        }
        if (mAnswers.size() >= mMaximumStreams) {
            return Optional.of(EntryReporter.tooManyRequests());
        }
        mAnswers.open(request, message.sink());
        mMetrics.submitted();
        if (message.request().idempotencyKey().isPresent()) {
            mHistory.add(request, message.fingerprint());
        }
        return Optional.empty();
    }

    Optional<RequestRecord> find(RequestId request) {
        return mHistory.find(request);
    }

    void dispatch(StageCall call) {
        AttemptId attempt = call.attempt();
        mAttempts.started(attempt);
        mEndpoints.run(call, mEvents);
        if (mAttempts.isPaused(attempt.request())) {
            mEndpoints.pauseReading(attempt);
        }
    }

    void cancel(AttemptId attempt) {
        mAttempts.ended(attempt);
        mEndpoints.cancel(attempt);
    }

    void observe(InstanceEvent event) {
        if (event instanceof InstanceEvent.StageFinished finished) {
            mAttempts.ended(finished.attempt());
        } else if (event instanceof InstanceEvent.StageFailed failed) {
            mAttempts.ended(failed.attempt());
        }
    }

    void send(InstanceAction.SendToCaller send) {
        RequestId request = send.request();
        mAnswers.find(request).ifPresent(sink -> send(request, sink, send));
    }

    private void send(RequestId request, AnswerSink sink, InstanceAction.SendToCaller send) {
        switch (sink.append(send.stage(), send.text())) {
            case SATURATED -> pause(request);
            case OVERFLOWED -> abort(request);
            default -> {
                // The sink accepts more.
            }
        }
    }

    private void pause(RequestId request) {
        if (mAttempts.pause(request)) {
            mMetrics.paused();
            mAttempts.ofRequest(request).forEach(mEndpoints::pauseReading);
        }
    }

    private void abort(RequestId request) {
        LifecycleLog.answerOverflowed(request);
        refuse(request, EntryReporter.answerTooLong());
        mEvents.accept(new InstanceEvent.CallerDisconnected(request));
    }

    void callerCaughtUp(RequestId request, AnswerSink sink) {
        if (mAnswers.isOpen(request, sink)) {
            resume(request);
        }
    }

    private void resume(RequestId request) {
        if (mAttempts.resume(request)) {
            mAttempts.ofRequest(request).forEach(mEndpoints::resumeReading);
        }
    }

    void callerDisconnected(RequestId request, AnswerSink sink) {
        if (mAnswers.isOpen(request, sink)) {
            mAnswers.close(request);
            mMetrics.callerDisconnected();
            mHistory.update(
                    request, earlier -> earlier.refused(EntryReporter.callerDisconnected()));
            resume(request);
            mEvents.accept(new InstanceEvent.CallerDisconnected(request));
        }
    }

    void complete(RequestId request) {
        mHistory.update(request, RequestRecord::completed);
        resume(request);
        mAnswers.elapsedNanos(request).ifPresent(mMetrics::completed);
        mAnswers.close(request).ifPresent(AnswerSink::complete);
    }

    void refuse(RequestId request, Refusal refusal) {
        mHistory.update(request, earlier -> earlier.refused(refusal));
        resume(request);
        mAnswers.close(request)
                .ifPresent(
                        sink -> {
                            mMetrics.refused(refusal.code());
                            sink.refuse(refusal);
                        });
    }
}
