package org.wasabilug.internal.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.grant.ColdStartGate;
import org.wasabilug.internal.instance.InstanceStatus.EndpointStatus;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.CacheEvents;
import org.wasabilug.port.ListedInstance;
import org.wasabilug.port.LoadReport;

/**
 * Routes by predicted finish time, estimated from this instance's attempts and from delayed load
 * reports.
 *
 * <p>Memory is bounded by the subset size per pool and by the number of attempts in flight.
 */
public final class AdaptiveRouter implements EndpointRouter {
    private final WatchedEndpoints mWatched;
    private final EndpointChooser mChooser;
    private final EndpointStatuses mStatuses;
    private final RunningAttempts mRunning = new RunningAttempts();

    private AdaptiveRouter(Builder builder) {
        RoutingSettings settings = builder.mSettings;
        EndpointSubset subset =
                new EndpointSubset(builder.mInstance, builder.mLocalDomain, settings.subsetSize());
        mWatched =
                new WatchedEndpoints(
                        subset, builder.mLocalDomain, builder.mConfiguration, settings);
        mChooser = new EndpointChooser(settings, builder.mGate, builder.mRandom, mWatched);
        mStatuses = new EndpointStatuses(mWatched, builder.mGate);
    }

    /** Returns a builder with default settings. */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public RoutingDecision route(RoutingQuery query, long nowNanos) {
        mWatched.refresh(nowNanos);
        PoolRoutes pool = mWatched.pool(query.pool());
        if (pool == null) {
            return new RoutingDecision.NoEndpoint("the pool has no endpoint");
        }
        return mChooser.choose(pool, query, nowNanos);
    }

    @Override
    public void dispatched(
            AttemptId attempt, EndpointName endpoint, RoutingQuery query, long nowNanos) {
        EndpointTracker tracker = mWatched.tracker(endpoint);
        PoolRoutes pool = mWatched.pool(query.pool());
        if (tracker != null && pool != null) {
            mRunning.dispatched(attempt, tracker, pool, query.suspect(), nowNanos);
        }
    }

    @Override
    public void firstChunk(AttemptId attempt, long nowNanos) {
        mRunning.firstChunk(attempt, nowNanos);
    }

    @Override
    public void ended(AttemptId attempt, AttemptEnd end, long nowNanos) {
        mRunning.ended(attempt, end, nowNanos);
    }

    /**
     * Applies a load report of an endpoint.
     *
     * @param endpoint the endpoint
     * @param report its report
     * @param nowNanos current monotonic time, in nanoseconds
     */
    public void applyLoadReport(EndpointName endpoint, LoadReport report, long nowNanos) {
        EndpointTracker tracker = mWatched.tracker(endpoint);
        if (tracker != null && tracker.applyReport(report, nowNanos)) {
            cacheOf(tracker).ifPresent(cache -> cache.remove(endpoint));
        }
    }

    /**
     * Applies changes of an endpoint's prefix cache.
     *
     * @param endpoint the endpoint
     * @param events the changes
     * @param nowNanos current monotonic time, in nanoseconds
     */
    public void applyCacheEvents(EndpointName endpoint, CacheEvents events, long nowNanos) {
        EndpointTracker tracker = mWatched.tracker(endpoint);
        if (tracker != null && tracker.isUsable()) {
            cacheOf(tracker).ifPresent(cache -> cache.apply(endpoint, events));
        }
    }

    private Optional<PrefixCacheIndex> cacheOf(EndpointTracker tracker) {
        return Optional.ofNullable(mWatched.pool(tracker.endpoint().pool())).map(PoolRoutes::cache);
    }

    /**
     * Applies the active configuration.
     *
     * @param nowNanos current monotonic time, in nanoseconds
     */
    public void configurationChanged(long nowNanos) {
        mWatched.refresh(nowNanos);
    }

    /**
     * Applies the platform's instance list. An endpoint listed as leaving receives no new work
     * until it is listed as not leaving. An endpoint that is absent keeps its state, because the
     * list lags.
     *
     * @param instances entries of the list
     */
    public void applyInstanceList(List<ListedInstance> instances) {
        mWatched.applyInstanceList(instances);
    }

    /**
     * Sets the number of entry instances that share the endpoints.
     *
     * @param count number of instances including this one, at least 1
     */
    public void setInstanceCount(int count) {
        mChooser.setInstanceCount(Math.max(1, count));
    }

    /** Returns the endpoints in use, whose load this instance should poll, grouped by pool. */
    public List<EndpointName> watchedEndpoints() {
        return mWatched.members().map(tracker -> tracker.endpoint().name()).toList();
    }

    /**
     * Returns the status of each endpoint that is in use or still has calls in flight, ordered by
     * name.
     *
     * @param nowNanos current monotonic time, in nanoseconds
     */
    public List<EndpointStatus> endpointStatuses(long nowNanos) {
        return mStatuses.at(nowNanos);
    }

    /** Builds an {@link AdaptiveRouter}. */
    public static final class Builder {
        private InstanceName mInstance;
        private FailureDomainName mLocalDomain;
        private ColdStartGate mGate;
        private Supplier<Configuration> mConfiguration;
        private UniformRandomProvider mRandom;
        private RoutingSettings mSettings = RoutingSettings.builder().build();

        private Builder() {}

        /** Sets the name of this instance, which determines its subset of large pools. */
        public Builder instance(InstanceName value) {
            mInstance = value;
            return this;
        }

        /** Sets the failure domain of this instance. */
        public Builder localDomain(FailureDomainName value) {
            mLocalDomain = value;
            return this;
        }

        /** Sets the gate that limits work at cold endpoints. */
        public Builder coldStartGate(ColdStartGate value) {
            mGate = value;
            return this;
        }

        /**
         * Sets the source of the active configuration, which returns the same object until it
         * changes.
         */
        public Builder configuration(Supplier<Configuration> value) {
            mConfiguration = value;
            return this;
        }

        /** Sets the seeded random number generator. */
        public Builder random(UniformRandomProvider value) {
            mRandom = value;
            return this;
        }

        /** Sets the routing settings. */
        public Builder settings(RoutingSettings value) {
            mSettings = value;
            return this;
        }

        /** Builds a router without load information. */
        public AdaptiveRouter build() {
            return new AdaptiveRouter(this);
        }
    }
}
