package org.wasabilug.internal.execution;

import java.util.List;
import org.wasabilug.internal.event.Decision;
import org.wasabilug.internal.event.InstanceAction;

/**
 * Context of the handling of one event.
 *
 * @param nowNanos monotonic time of the event, in nanoseconds
 * @param actions collects the actions to perform
 */
record Turn(long nowNanos, List<InstanceAction> actions) {
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;

    void emit(InstanceAction action) {
        actions.add(action);
    }

    /** Emits the log line of a decision about a request. */
    void log(
            String kind,
            RequestRun run,
            String stage,
            int candidates,
            String chosen,
            String reason) {
        emit(
                new InstanceAction.LogDecision(
                        new Decision(
                                kind,
                                run.id().value(),
                                run.request().workspace().value(),
                                stage,
                                candidates,
                                chosen,
                                reason,
                                run.remainingNanos(nowNanos) / NANOS_PER_MILLISECOND)));
    }
}
