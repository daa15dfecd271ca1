package org.wasabilug.internal.routing;

import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.grant.ColdStartGate;

/** Chooses among the usable endpoints of a pool. */
final class EndpointChooser {
    private static final double SPILL_RATIO = 1.5;
    private static final double CACHE_LOAD_MARGIN = 0.25;
    private static final int MAXIMUM_HOLDERS = 8;

    private final RoutingSettings mSettings;
    private final ColdStartGate mGate;
    private final UniformRandomProvider mRandom;
    private final WatchedEndpoints mWatched;
    private int mInstances = 1;

    EndpointChooser(
            RoutingSettings settings,
            ColdStartGate gate,
            UniformRandomProvider random,
            WatchedEndpoints watched) {
        mSettings = settings;
        mGate = gate;
        mRandom = random;
        mWatched = watched;
    }

    void setInstanceCount(int instances) {
        mInstances = instances;
    }

    RoutingDecision choose(PoolRoutes pool, RoutingQuery query, long nowNanos) {
        int candidates = pool.usableCount();
        if (candidates == 0) {
            return new RoutingDecision.NoEndpoint("no endpoint of the pool is in service");
        }
        Choice choice =
                switch (mSettings.style()) {
                    case RoutingStyle.Adaptive(int choices) ->
                            adaptive(pool, query, choices, nowNanos);
                    case RoutingStyle.RoundRobin() -> roundRobin(pool, query, nowNanos);
                    case RoutingStyle.LeastReportedLoad() -> leastReported(pool, query, nowNanos);
                };
        if (choice == null) {
            return new RoutingDecision.NoCapacity(candidates, "no endpoint has free capacity");
        }
        return new RoutingDecision.Chosen(choice.tracker().endpoint(), candidates, choice.reason());
    }

    private record Choice(EndpointTracker tracker, double predictedNanos, String reason) {}

    private Choice adaptive(PoolRoutes pool, RoutingQuery query, int sampleSize, long nowNanos) {
        Choice local = sample(pool, pool.local(), query, sampleSize, nowNanos);
        Choice remote = sample(pool, pool.remote(), query, sampleSize, nowNanos);
        Choice chosen = preferLocal(local, remote, query);
        if (query.prefixHashes().isEmpty() || chosen == null) {
            return chosen;
        }
        return preferCached(pool, query, chosen, nowNanos);
    }

    private Choice preferLocal(Choice local, Choice remote, RoutingQuery query) {
        if (local == null || remote == null) {
            return local == null ? remote : local;
        }
        double crossing = mSettings.crossDomainTime().toNanos();
        double remoteNanos = remote.predictedNanos() + crossing;
        boolean missesDeadline = local.predictedNanos() > query.remainingNanos();
        boolean muchSlower = local.predictedNanos() > SPILL_RATIO * remoteNanos;
        return (missesDeadline && remoteNanos < local.predictedNanos()) || muchSlower
                ? remote
                : local;
    }

    private Choice sample(
            PoolRoutes pool,
            EndpointTracker[] trackers,
            RoutingQuery query,
            int sampleSize,
            long nowNanos) {
        if (trackers.length == 0) {
            return null;
        }
        // A random start and stride sample without replacement and without allocating a list.
        int start = mRandom.nextInt(trackers.length);
        int stride = trackers.length == 1 ? 0 : 1 + mRandom.nextInt(trackers.length - 1);
        EndpointTracker best = null;
        double bestNanos = Double.POSITIVE_INFINITY;
        int sampled = 0;
        for (int step = 0; step < trackers.length && sampled < sampleSize; step++) {
            int offset = step == 1 ? stride : step > 1 && step <= stride ? step - 1 : step;
            EndpointTracker tracker = trackers[(start + offset) % trackers.length];
            if (hasCapacity(tracker, query, nowNanos)) {
                sampled++;
                double predicted = tracker.predictedNanos(pool.serviceNanos(), nowNanos);
                if (predicted < bestNanos) {
                    best = tracker;
                    bestNanos = predicted;
                }
            }
        }
        return best == null ? null : new Choice(best, bestNanos, "earliest predicted finish");
    }

    private boolean hasCapacity(EndpointTracker tracker, RoutingQuery query, long nowNanos) {
        return !query.avoid().contains(tracker.endpoint().name())
                && tracker.hasCapacity(query.suspect(), mInstances, mGate, nowNanos);
    }

    private Choice preferCached(PoolRoutes pool, RoutingQuery query, Choice chosen, long nowNanos) {
        PrefixCacheIndex.Match match = pool.cache().findLongestMatch(query.prefixHashes());
        double savedShare = match.share() * pool.firstChunkShare();
        double maximumUtilization = chosen.tracker().utilization(nowNanos) + CACHE_LOAD_MARGIN;
        Choice best = chosen;
        int holders = Math.min(MAXIMUM_HOLDERS, match.endpoints().size());
        for (int index = 0; index < holders; index++) {
            EndpointTracker tracker = mWatched.tracker(match.endpoints().get(index));
            boolean eligible =
                    tracker != null
                            && tracker.isUsable()
                            && tracker.utilization(nowNanos) <= maximumUtilization
                            && hasCapacity(tracker, query, nowNanos);
            if (eligible) {
                double nanos =
                        tracker.predictedNanos(pool.serviceNanos(), nowNanos) * (1 - savedShare);
                best =
                        nanos < best.predictedNanos()
                                ? new Choice(tracker, nanos, "prefix in cache")
                                : best;
            }
        }
        return best;
    }

    private Choice roundRobin(PoolRoutes pool, RoutingQuery query, long nowNanos) {
        int count = pool.usableCount();
        for (int step = 0; step < count; step++) {
            EndpointTracker tracker = pool.usable(pool.nextRoundRobinIndex() % count);
            if (hasCapacity(tracker, query, nowNanos)) {
                return new Choice(tracker, 0, "round robin");
            }
        }
        return null;
    }

    private Choice leastReported(PoolRoutes pool, RoutingQuery query, long nowNanos) {
        int count = pool.usableCount();
        int start = mRandom.nextInt(count);
        EndpointTracker best = null;
        for (int step = 0; step < count; step++) {
            EndpointTracker tracker = pool.usable((start + step) % count);
            boolean lessLoaded = best == null || tracker.load().reported() < best.load().reported();
            if (lessLoaded && hasCapacity(tracker, query, nowNanos)) {
                best = tracker;
            }
        }
        return best == null ? null : new Choice(best, 0, "least reported load");
    }
}
