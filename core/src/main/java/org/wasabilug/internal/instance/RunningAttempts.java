package org.wasabilug.internal.instance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.model.EndpointName;

/**
 * Tracks the endpoint of each attempt in flight and the number of attempts at each endpoint. A
 * cancelled attempt counts until its cancellation must have reached the endpoint.
 */
final class RunningAttempts {
    private static final long CANCELLATION_DELIVERY_NANOS = 1_000_000_000L;

    private final Map<AttemptId, EndpointName> mEndpoints = new HashMap<>();
    private final Map<EndpointName, Integer> mCounts = new HashMap<>();
    private final Map<EndpointName, Integer> mCancelledCounts = new HashMap<>();
    private final Deque<Cancelled> mCancelled = new ArrayDeque<>();

    private record Cancelled(AttemptId attempt, EndpointName endpoint, long untilNanos) {}

    /** Returns the number of local calls in flight at an endpoint, including cancelled ones. */
    int countAt(EndpointName endpoint) {
        return mCounts.getOrDefault(endpoint, 0);
    }

    /** Returns the number of cancelled local calls that the endpoint may still be running. */
    int cancelledAt(EndpointName endpoint) {
        return mCancelledCounts.getOrDefault(endpoint, 0);
    }

    void recordActions(List<InstanceAction> actions, long nowNanos) {
        for (InstanceAction action : actions) {
            if (action instanceof InstanceAction.Dispatch dispatch) {
                mEndpoints.put(dispatch.call().attempt(), dispatch.call().endpoint());
                increment(mCounts, dispatch.call().endpoint());
            } else if (action instanceof InstanceAction.CancelAttempt cancel) {
                recordCancelled(cancel.attempt(), nowNanos);
            }
        }
    }

    private void recordCancelled(AttemptId attempt, long nowNanos) {
        EndpointName endpoint = mEndpoints.remove(attempt);
        if (endpoint != null) {
            mCancelled.add(
                    new Cancelled(attempt, endpoint, nowNanos + CANCELLATION_DELIVERY_NANOS));
            increment(mCancelledCounts, endpoint);
        }
    }

    /** Stops counting cancelled attempts whose cancellation must have reached the endpoint. */
    void expireCancellations(long nowNanos) {
        while (!mCancelled.isEmpty() && mCancelled.peek().untilNanos() <= nowNanos) {
            expire(mCancelled.remove());
        }
    }

    private void expire(Cancelled cancelled) {
        decrement(mCancelledCounts, cancelled.endpoint());
        decrement(mCounts, cancelled.endpoint());
    }

    /**
     * Removes the attempt that the event ends, if any, and returns its endpoint if the connection
     * to it failed.
     */
    Optional<EndpointName> recordAttemptEnd(InstanceEvent event) {
        if (event instanceof InstanceEvent.StageFailed failed) {
            Optional<EndpointName> endpoint = removeAttempt(failed.attempt());
            return switch (failed.kind()) {
                case CONNECTION_LOST, CONNECTION_REFUSED -> endpoint;
                case OVERLOADED, TIMED_OUT, REJECTED, FAILED -> Optional.empty();
            };
        }
        if (event instanceof InstanceEvent.StageFinished finished) {
            removeAttempt(finished.attempt());
        }
        return Optional.empty();
    }

    private Optional<EndpointName> removeAttempt(AttemptId attempt) {
        EndpointName endpoint = mEndpoints.remove(attempt);
        if (endpoint != null) {
            decrement(mCounts, endpoint);
        }
        return Optional.ofNullable(endpoint);
    }

    private static void increment(Map<EndpointName, Integer> counts, EndpointName endpoint) {
        counts.merge(endpoint, 1, Integer::sum);
    }

    private static void decrement(Map<EndpointName, Integer> counts, EndpointName endpoint) {
        counts.computeIfPresent(endpoint, (name, count) -> count == 1 ? null : count - 1);
    }
}
