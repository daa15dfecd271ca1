package org.wasabilug.entry.internal.actor;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;
import org.wasabilug.error.ErrorCode;

/** What the instance's actor counts and times. */
final class InstanceMetrics {
    private final MetricRegistry mRegistry;
    private final Meter mSubmitted;
    private final Meter mCompleted;
    private final Meter mVanished;
    private final Meter mHeld;
    private final Meter mDecisions;
    private final Timer mAnswers;
    private final Timer mEvents;

    InstanceMetrics(MetricRegistry registry) {
        mRegistry = registry;
        mSubmitted = registry.meter("requests.submitted");
        mCompleted = registry.meter("requests.completed");
        mVanished = registry.meter("requests.callerVanished");
        mHeld = registry.meter("requests.heldBack");
        mDecisions = registry.meter("decisions");
        mAnswers = registry.timer("requests.completeAnswer");
        mEvents = registry.timer("core.event");
    }

    void submitted() {
        mSubmitted.mark();
    }

    void completed(long elapsedNanos) {
        mCompleted.mark();
        mAnswers.update(elapsedNanos, TimeUnit.NANOSECONDS);
    }

    void refused(ErrorCode code) {
        mRegistry.meter("requests.refused." + code).mark();
    }

    void vanished() {
        mVanished.mark();
    }

    void heldBack() {
        mHeld.mark();
    }

    void decided() {
        mDecisions.mark();
    }

    void handled(long elapsedNanos) {
        mEvents.update(elapsedNanos, TimeUnit.NANOSECONDS);
    }

    void watchOpenAnswers(OpenAnswers answers) {
        mRegistry.gauge("requests.inFlight", () -> answers::size);
    }
}
