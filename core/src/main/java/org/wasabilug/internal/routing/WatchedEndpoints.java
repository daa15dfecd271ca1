package org.wasabilug.internal.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.PoolName;
import org.wasabilug.port.ListedInstance;
import org.wasabilug.port.ListedRole;

/**
 * Endpoints that this instance uses, according to the active configuration and the instance list.
 */
final class WatchedEndpoints {
    private final FailureDomainName mLocalDomain;
    private final Supplier<Configuration> mConfiguration;
    private final RoutingSettings mSettings;
    private final EndpointSubset mSubset;
    private final Map<EndpointName, EndpointTracker> mTrackers = new HashMap<>();
    private final Map<PoolName, PoolRoutes> mPools = new TreeMap<>();
    private final Set<EndpointName> mListedLeaving = new HashSet<>();
    private Configuration mActive = Configuration.empty();
    private boolean mStale = true;

    WatchedEndpoints(
            EndpointSubset subset,
            FailureDomainName localDomain,
            Supplier<Configuration> configuration,
            RoutingSettings settings) {
        mSubset = subset;
        mLocalDomain = localDomain;
        mConfiguration = configuration;
        mSettings = settings;
    }

    EndpointTracker tracker(EndpointName endpoint) {
        return mTrackers.get(endpoint);
    }

    Stream<EndpointTracker> trackers() {
        return mTrackers.values().stream();
    }

    PoolRoutes pool(PoolName pool) {
        return mPools.get(pool);
    }

    Stream<EndpointTracker> members() {
        return mPools.values().stream().flatMap(pool -> pool.members().stream());
    }

    boolean isInService(FailureDomainName failureDomain) {
        return mActive.isInService(failureDomain);
    }

    /** Records which endpoints are leaving. Absence from the list has no effect. */
    void applyInstanceList(List<ListedInstance> instances) {
        for (ListedInstance instance : instances) {
            if (instance.role() == ListedRole.ENDPOINT) {
                EndpointName name = new EndpointName(instance.name());
                boolean changed =
                        instance.leaving() ? mListedLeaving.add(name) : mListedLeaving.remove(name);
                mStale = mStale || (changed && mActive.endpoint(name).isPresent());
            }
        }
    }

    /** Applies configuration changes. Cheap if nothing has changed. */
    void refresh(long nowNanos) {
        Configuration configuration = mConfiguration.get();
        if (mStale || configuration != mActive) {
            mActive = configuration;
            mListedLeaving.removeIf(name -> configuration.endpoint(name).isEmpty());
            mStale = false;
            rebuild(nowNanos);
        }
    }

    private void rebuild(long nowNanos) {
        Map<PoolName, List<Endpoint>> chosen = new TreeMap<>();
        for (PoolName pool : configuredPools()) {
            List<Endpoint> staying =
                    mActive.endpointsOf(pool).stream()
                            .filter(endpoint -> !isLeaving(endpoint))
                            .toList();
            chosen.put(pool, mSubset.select(staying));
        }
        stopUsing(chosen, nowNanos);
        mPools.keySet().retainAll(chosen.keySet());
        chosen.forEach((pool, endpoints) -> rebuild(pool, endpoints, nowNanos));
    }

    private Set<PoolName> configuredPools() {
        Set<PoolName> pools = new TreeSet<>();
        mActive.objects().stream()
                .flatMap(object -> object.state().stream())
                .filter(Endpoint.class::isInstance)
                .map(Endpoint.class::cast)
                .forEach(endpoint -> pools.add(endpoint.pool()));
        return pools;
    }

    private boolean isLeaving(Endpoint endpoint) {
        return endpoint.leaving() || mListedLeaving.contains(endpoint.name());
    }

    /** Removes unused endpoints without calls in flight and marks the others as not usable. */
    private void stopUsing(Map<PoolName, List<Endpoint>> chosen, long nowNanos) {
        Set<EndpointName> used = new HashSet<>();
        chosen.values().forEach(all -> all.forEach(endpoint -> used.add(endpoint.name())));
        mTrackers
                .values()
                .removeIf(
                        tracker ->
                                !used.contains(tracker.endpoint().name())
                                        && tracker.load().local() == 0);
        for (EndpointTracker tracker : mTrackers.values()) {
            if (!used.contains(tracker.endpoint().name())) {
                tracker.configure(tracker.endpoint(), false, nowNanos);
            }
        }
    }

    private void rebuild(PoolName pool, List<Endpoint> endpoints, long nowNanos) {
        List<EndpointTracker> members = new ArrayList<>(endpoints.size());
        for (Endpoint endpoint : endpoints) {
            EndpointTracker tracker =
                    mTrackers.computeIfAbsent(
                            endpoint.name(), name -> new EndpointTracker(endpoint, mSettings));
            boolean inService = mActive.isInService(endpoint.failureDomain());
            tracker.configure(endpoint, inService, nowNanos);
            members.add(tracker);
        }
        mPools.computeIfAbsent(pool, name -> new PoolRoutes(mSettings.cacheEntries()))
                .setMembers(members, mLocalDomain);
    }
}
