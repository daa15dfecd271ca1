package org.wasabilug.internal.routing;

import java.util.HashMap;
import java.util.Map;
import org.wasabilug.internal.event.AttemptId;

/** Attempts in flight; updates endpoint statistics when they end. */
final class RunningAttempts {
    private static final double TIMEOUT_WEIGHT = 0.5;
    private static final double SLOW_RATIO = 3;

    private final Map<AttemptId, RunningAttempt> mRunning = new HashMap<>();

    void dispatched(
            AttemptId attempt,
            EndpointTracker tracker,
            PoolRoutes pool,
            boolean suspect,
            long nowNanos) {
        RunningAttempt running = new RunningAttempt(tracker, pool, suspect, nowNanos);
        if (mRunning.putIfAbsent(attempt, running) == null) {
            tracker.dispatched(suspect, nowNanos);
        }
    }

    void firstChunk(AttemptId attempt, long nowNanos) {
        RunningAttempt running = mRunning.get(attempt);
        if (running != null) {
            running.firstChunk(nowNanos);
        }
    }

    void ended(AttemptId attempt, AttemptEnd end, long nowNanos) {
        RunningAttempt running = mRunning.remove(attempt);
        if (running == null) {
            return;
        }
        running.tracker().released(running.isSuspect(), nowNanos);
        switch (end) {
            case SUCCEEDED -> succeeded(running, nowNanos);
            case OVERLOADED -> overloaded(running.tracker(), nowNanos);
            case TIMED_OUT -> timedOut(running, nowNanos);
            case FAILED -> failed(running, 1, nowNanos);
            case CANCELLED, REJECTED -> {
                // Neither is evidence about the endpoint.
            }
            default -> throw new IllegalStateException(end.name());
        }
    }

    private static void succeeded(RunningAttempt running, long nowNanos) {
        EndpointTracker tracker = running.tracker();
        double nanos = running.unloadedNanos(nowNanos);
        tracker.serviceTime().addSample(nanos, nowNanos);
        running.pool().recordSuccess(nanos, running.firstChunkShare(nowNanos));
        tracker.limit().recordSuccess();
        if (tracker.health().recordSuccess()) {
            tracker.ramp().start(nowNanos);
        }
    }

    private static void overloaded(EndpointTracker tracker, long nowNanos) {
        tracker.load().applyRefusal(tracker.limit().limit(), nowNanos);
        tracker.limit().recordOverload(nowNanos);
    }

    private static void timedOut(RunningAttempt running, long nowNanos) {
        EndpointTracker tracker = running.tracker();
        double nanos = running.unloadedNanos(nowNanos);
        // The call would have taken even longer, so it may only increase the estimated time.
        if (nanos > tracker.serviceTime().nanos(running.pool().serviceNanos(), nowNanos)) {
            tracker.serviceTime().addSample(nanos, nowNanos);
        }
        // A call with little time left is no evidence that the concurrency limit is too high.
        if (nanos > SLOW_RATIO * running.pool().serviceNanos()) {
            tracker.limit().recordOverload(nowNanos);
        }
        failed(running, TIMEOUT_WEIGHT, nowNanos);
    }

    private static void failed(RunningAttempt running, double weight, long nowNanos) {
        running.tracker().health().recordFailure(weight, nowNanos);
        running.pool().ejectIfFailing(running.tracker(), nowNanos);
    }
}
