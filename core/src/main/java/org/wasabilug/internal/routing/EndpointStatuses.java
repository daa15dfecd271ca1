package org.wasabilug.internal.routing;

import java.util.List;
import org.wasabilug.internal.grant.ColdStartGate;
import org.wasabilug.internal.instance.InstanceStatus.EndpointStatus;
import org.wasabilug.model.Endpoint;

/** Reports the status of endpoints to operators. */
final class EndpointStatuses {
    private final WatchedEndpoints mWatched;
    private final ColdStartGate mGate;

    EndpointStatuses(WatchedEndpoints watched, ColdStartGate gate) {
        mWatched = watched;
        mGate = gate;
    }

    List<EndpointStatus> at(long nowNanos) {
        return mWatched.trackers()
                .map(tracker -> status(tracker, nowNanos))
                .sorted((first, second) -> first.name().compareTo(second.name()))
                .toList();
    }

    private EndpointStatus status(EndpointTracker tracker, long nowNanos) {
        Endpoint endpoint = tracker.endpoint();
        int allowance = Math.min(endpoint.concurrencyLimit(), mGate.allowance(endpoint, nowNanos));
        return new EndpointStatus(
                endpoint.name(),
                endpoint.pool(),
                endpoint.failureDomain(),
                stateOf(tracker),
                tracker.load().local(),
                tracker.isUsable() ? allowance : 0);
    }

    private String stateOf(EndpointTracker tracker) {
        Endpoint endpoint = tracker.endpoint();
        if (!mWatched.isInService(endpoint.failureDomain())) {
            return "taken out";
        }
        if (!tracker.isUsable()) {
            return "leaving";
        }
        if (tracker.health().isEjected()) {
            return "ejected";
        }
        return tracker.isCold() ? "cold" : "in service";
    }
}
