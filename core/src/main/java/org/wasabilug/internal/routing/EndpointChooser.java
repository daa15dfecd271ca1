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

    void instances(int instances) {
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
                    case RoutingStyle.RoundRobin() -> inTurn(pool, query, nowNanos);
                    case RoutingStyle.LeastReportedLoad() -> leastReported(pool, query, nowNanos);
                };
        if (choice == null) {
            return new RoutingDecision.NoCapacity(candidates, "no endpoint has room");
        }
        return new RoutingDecision.Chosen(choice.tracker().endpoint(), candidates, choice.reason());
    }

    private record Choice(EndpointTracker tracker, double predictedNanos, String reason) {}

    private Choice adaptive(PoolRoutes pool, RoutingQuery query, int choices, long nowNanos) {
        Choice own = draw(pool, pool.own(), query, choices, nowNanos);
        Choice other = draw(pool, pool.others(), query, choices, nowNanos);
        Choice chosen = ownUnlessMuchLater(own, other, query);
        if (query.prefixHashes().isEmpty() || chosen == null) {
            return chosen;
        }
        return cachedUnlessLater(pool, query, chosen, nowNanos);
    }

    private Choice ownUnlessMuchLater(Choice own, Choice other, RoutingQuery query) {
        if (own == null || other == null) {
            return own == null ? other : own;
        }
        double crossing = mSettings.crossDomainTime().toNanos();
        double otherNanos = other.predictedNanos() + crossing;
        boolean late = own.predictedNanos() > query.remainingNanos();
        boolean muchLater = own.predictedNanos() > SPILL_RATIO * otherNanos;
        return (late && otherNanos < own.predictedNanos()) || muchLater ? other : own;
    }

    private Choice draw(
            PoolRoutes pool,
            EndpointTracker[] trackers,
            RoutingQuery query,
            int choices,
            long nowNanos) {
        if (trackers.length == 0) {
            return null;
        }
        // Steps of a stride through a random start draw without repeats and without a list.
        int start = mRandom.nextInt(trackers.length);
        int stride = trackers.length == 1 ? 0 : 1 + mRandom.nextInt(trackers.length - 1);
        EndpointTracker best = null;
        double bestNanos = Double.POSITIVE_INFINITY;
        int drawn = 0;
        for (int step = 0; step < trackers.length && drawn < choices; step++) {
            int offset = step == 1 ? stride : step > 1 && step <= stride ? step - 1 : step;
            EndpointTracker tracker = trackers[(start + offset) % trackers.length];
            if (hasRoom(tracker, query, nowNanos)) {
                drawn++;
                double predicted = tracker.predictedNanos(pool.serviceNanos(), nowNanos);
                if (predicted < bestNanos) {
                    best = tracker;
                    bestNanos = predicted;
                }
            }
        }
        return best == null ? null : new Choice(best, bestNanos, "soonest predicted finish");
    }

    private boolean hasRoom(EndpointTracker tracker, RoutingQuery query, long nowNanos) {
        return !query.avoid().contains(tracker.endpoint().name())
                && tracker.hasRoom(query.suspect(), mInstances, mGate, nowNanos);
    }

    private Choice cachedUnlessLater(
            PoolRoutes pool, RoutingQuery query, Choice chosen, long nowNanos) {
        PrefixCacheIndex.Match match = pool.cache().longest(query.prefixHashes());
        double saved = match.share() * pool.firstChunkShare();
        double bound = chosen.tracker().utilization(nowNanos) + CACHE_LOAD_MARGIN;
        Choice best = chosen;
        int holders = Math.min(MAXIMUM_HOLDERS, match.endpoints().size());
        for (int index = 0; index < holders; index++) {
            EndpointTracker tracker = mWatched.tracker(match.endpoints().get(index));
            boolean possible =
                    tracker != null
                            && tracker.isUsable()
                            && tracker.utilization(nowNanos) <= bound
                            && hasRoom(tracker, query, nowNanos);
            if (possible) {
                double nanos = tracker.predictedNanos(pool.serviceNanos(), nowNanos) * (1 - saved);
                best =
                        nanos < best.predictedNanos()
                                ? new Choice(tracker, nanos, "prefix in cache")
                                : best;
            }
        }
        return best;
    }

    private Choice inTurn(PoolRoutes pool, RoutingQuery query, long nowNanos) {
        int count = pool.usableCount();
        for (int step = 0; step < count; step++) {
            EndpointTracker tracker = pool.usable(pool.nextInTurn() % count);
            if (hasRoom(tracker, query, nowNanos)) {
                return new Choice(tracker, 0, "next in turn");
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
            boolean less = best == null || tracker.load().reported() < best.load().reported();
            if (less && hasRoom(tracker, query, nowNanos)) {
                best = tracker;
            }
        }
        return best == null ? null : new Choice(best, 0, "least reported load");
    }
}
