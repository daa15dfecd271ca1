package org.wasabilug.internal.instance;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.grant.ColdStartGrants;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.PoolName;

/** Tells the grants which cold endpoints there is work for. */
final class ColdDemand {
    private final Set<PoolName> mBusyPools = new HashSet<>();

    void noteActions(List<InstanceAction> actions, Configuration configuration) {
        for (InstanceAction action : actions) {
            if (action instanceof InstanceAction.Dispatch dispatch) {
                configuration
                        .endpoint(dispatch.call().endpoint())
                        .ifPresent(endpoint -> mBusyPools.add(endpoint.pool()));
            }
        }
    }

    void noteWaiting(List<PoolName> pools) {
        mBusyPools.addAll(pools);
    }

    /** Asks for slots at the cold endpoints of the pools that were busy since the last call. */
    void ask(
            List<EndpointName> watched,
            Configuration configuration,
            ColdStartGrants grants,
            long nowNanos) {
        if (mBusyPools.isEmpty()) {
            return;
        }
        for (EndpointName name : watched) {
            configuration
                    .endpoint(name)
                    .filter(endpoint -> isWanted(endpoint, configuration))
                    .filter(endpoint -> !grants.isWarm(name, nowNanos))
                    .ifPresent(endpoint -> grants.recordDemand(name, nowNanos));
        }
        mBusyPools.clear();
    }

    private boolean isWanted(Endpoint endpoint, Configuration configuration) {
        return mBusyPools.contains(endpoint.pool())
                && !endpoint.leaving()
                && configuration.isInService(endpoint.failureDomain());
    }
}
