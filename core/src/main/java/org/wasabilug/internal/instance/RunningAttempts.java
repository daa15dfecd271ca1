package org.wasabilug.internal.instance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.model.EndpointName;

/** Knows where each running attempt was sent, and how many run at each endpoint. */
final class RunningAttempts {
    private final Map<AttemptId, EndpointName> mEndpoints = new HashMap<>();
    private final Map<EndpointName, Integer> mCounts = new HashMap<>();

    /** Calls of this instance in flight at an endpoint. */
    int countAt(EndpointName endpoint) {
        return mCounts.getOrDefault(endpoint, 0);
    }

    void noteActions(List<InstanceAction> actions) {
        for (InstanceAction action : actions) {
            if (action instanceof InstanceAction.Dispatch dispatch) {
                mEndpoints.put(dispatch.call().attempt(), dispatch.call().endpoint());
                mCounts.merge(dispatch.call().endpoint(), 1, Integer::sum);
            } else if (action instanceof InstanceAction.CancelAttempt cancel) {
                endOf(cancel.attempt());
            }
        }
    }

    /** The endpoint whose connection failed, where the event says that one did. */
    Optional<EndpointName> lostEndpoint(InstanceEvent event) {
        if (event instanceof InstanceEvent.StageFailed failed) {
            Optional<EndpointName> endpoint = endOf(failed.attempt());
            return switch (failed.kind()) {
                case CONNECTION_LOST, CONNECTION_REFUSED -> endpoint;
                case OVERLOADED, TIMED_OUT, REJECTED, FAILED -> Optional.empty();
            };
        }
        if (event instanceof InstanceEvent.StageFinished finished) {
            endOf(finished.attempt());
        }
        return Optional.empty();
    }

    private Optional<EndpointName> endOf(AttemptId attempt) {
        EndpointName endpoint = mEndpoints.remove(attempt);
        if (endpoint != null) {
            mCounts.computeIfPresent(endpoint, (name, count) -> count == 1 ? null : count - 1);
        }
        return Optional.ofNullable(endpoint);
    }
}
