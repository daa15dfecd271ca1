package org.wasabilug.entry.internal.actor;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;
import org.wasabilug.error.ErrorCode;

/** Metrics that the instance actor records. */
final class InstanceMetrics {
    private final MetricRegistry mRegistry;
    private final Meter mSubmitted;
    private final Meter mCompleted;
    private final Meter mDisconnected;
    private final Meter mPaused;
    private final Meter mDecisions;
    private final Timer mAnswerTime;
    private final Timer mEventTime;

    InstanceMetrics(MetricRegistry registry) {
        mRegistry = registry;
        mSubmitted = registry.meter("requests.submitted");
        mCompleted = registry.meter("requests.completed");
        mDisconnected = registry.meter("requests.callerVanished");
        mPaused = registry.meter("requests.heldBack");
        mDecisions = registry.meter("decisions");
        mAnswerTime = registry.timer("requests.completeAnswer");
        mEventTime = registry.timer("core.event");
    }

    void submitted() {
        mSubmitted.mark();
    }

    void completed(long elapsedNanos) {
        mCompleted.mark();
        mAnswerTime.update(elapsedNanos, TimeUnit.NANOSECONDS);
    }

    void refused(ErrorCode code) {
        mRegistry.meter("requests.refused." + code).mark();
    }

    void callerDisconnected() {
        mDisconnected.mark();
    }

    void paused() {
        mPaused.mark();
    }

    void decisionLogged() {
        mDecisions.mark();
    }

    void eventHandled(long elapsedNanos) {
        mEventTime.update(elapsedNanos, TimeUnit.NANOSECONDS);
    }

    void registerInFlightGauge(OpenAnswers answers) {
        mRegistry.gauge("requests.inFlight", () -> answers::size);
    }
}
