package org.wasabilug.gateway.internal.stage;

import java.util.List;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.FleetView;

/** Chooses the endpoints of a stage to which calls may be sent now. */
final class StageEndpoints {
    private final GatewayState mState;
    private final int mSendersPerService;
    private final EndpointBackoff mBackoff = new EndpointBackoff();

    /**
     * Creates a chooser that has seen no call.
     *
     * @param state state of this process
     * @param sendersPerService least number of instances assumed to share the limits of a service
     */
    StageEndpoints(GatewayState state, int sendersPerService) {
        mState = state;
        mSendersPerService = sendersPerService;
    }

    /**
     * Returns the endpoints to which sends are not stopped because of recent refusals or pauses.
     */
    List<EndpointState> callable(String service, long nowMillis) {
        List<EndpointState> usable =
                mBackoff.callable(mState.usable(service), nowMillis).stream()
                        .filter(each -> each.pause().maySend(nowMillis))
                        .toList();
        return mState.rejectionMonitor()
                .services()
                .rejectionsPerSecond(service, nowMillis)
                .map(limit -> withinLimit(usable, limit, nowMillis))
                .orElse(usable);
    }

    private List<EndpointState> withinLimit(List<EndpointState> usable, int limit, long nowMillis) {
        FleetView senders = senders();
        return usable.stream()
                .filter(each -> !each.rejectionControl().isStopped(limit, senders, nowMillis))
                .toList();
    }

    /** The instances that hear each other send through one of them. */
    private FleetView senders() {
        FleetView fleet = mState.rejectionMonitor().fleet();
        int instances = Math.max(fleet.instances(), mSendersPerService * fleet.heard());
        return new FleetView(fleet.instance(), instances, fleet.heard(), 0);
    }

    /** Records how a call to an endpoint ended. */
    void callEnded(String endpoint, StageCallResult result) {
        if (result.refused()) {
            mBackoff.refused(endpoint, mState.nowMillis());
        } else if (!result.outcomes().isEmpty()) {
            mBackoff.accepted(endpoint);
        }
    }
}
