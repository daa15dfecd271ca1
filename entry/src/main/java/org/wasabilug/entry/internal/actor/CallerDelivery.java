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

/** Carries results from endpoints to callers, no faster than each caller reads. */
final class CallerDelivery {
    private final EndpointClient mEndpoints;
    private final Consumer<InstanceEvent> mEvents;
    private final OpenAnswers mAnswers = new OpenAnswers();
    private final AttemptTracker mAttempts = new AttemptTracker();
    private final RequestHistory mHistory;
    private final int mMaximumStreams;
    private final InstanceMetrics mMetrics;

    CallerDelivery(
            EndpointClient endpoints,
            Consumer<InstanceEvent> events,
            EntryLimits limits,
            InstanceMetrics metrics) {
        mEndpoints = endpoints;
        mEvents = events;
        mHistory = new RequestHistory(limits.rememberedRequests());
        mMaximumStreams = limits.maximumStreams();
        mMetrics = metrics;
        metrics.watchOpenAnswers(mAnswers);
    }

    /**
     * Opens the answer of a request.
     *
     * @return a refusal where the request must not reach the core; empty otherwise
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
            return Optional.of(EntryReporter.tooManyStreams());
        }
        mAnswers.open(request, message.sink());
        mMetrics.submitted();
        if (message.request().idempotencyKey().isPresent()) {
            mHistory.start(request, message.fingerprint());
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
        if (mAttempts.isHeld(attempt.request())) {
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
        switch (sink.part(send.stage(), send.text())) {
            case HOLD -> hold(request);
            case OVERFLOWED -> cutOff(request);
            default -> {
                // The caller keeps up.
            }
        }
    }

    private void hold(RequestId request) {
        if (mAttempts.hold(request)) {
            mMetrics.heldBack();
            mAttempts.of(request).forEach(mEndpoints::pauseReading);
        }
    }

    private void cutOff(RequestId request) {
        LifecycleLog.overflowed(request);
        refuse(request, EntryReporter.answerTooLong());
        mEvents.accept(new InstanceEvent.CallerDisconnected(request));
    }

    void caughtUp(RequestId request, AnswerSink sink) {
        if (mAnswers.isOpen(request, sink)) {
            release(request);
        }
    }

    private void release(RequestId request) {
        if (mAttempts.release(request)) {
            mAttempts.of(request).forEach(mEndpoints::resumeReading);
        }
    }

    void vanished(RequestId request, AnswerSink sink) {
        if (mAnswers.isOpen(request, sink)) {
            mAnswers.close(request);
            mMetrics.vanished();
            mHistory.change(request, earlier -> earlier.refused(EntryReporter.callerLeft()));
            release(request);
            mEvents.accept(new InstanceEvent.CallerDisconnected(request));
        }
    }

    void complete(RequestId request) {
        mHistory.change(request, RequestRecord::completed);
        release(request);
        mAnswers.elapsedNanos(request).ifPresent(mMetrics::completed);
        mAnswers.close(request).ifPresent(AnswerSink::complete);
    }

    void refuse(RequestId request, Refusal refusal) {
        mHistory.change(request, earlier -> earlier.refused(refusal));
        release(request);
        mAnswers.close(request)
                .ifPresent(
                        sink -> {
                            mMetrics.refused(refusal.code());
                            sink.refuse(refusal);
                        });
    }
}
