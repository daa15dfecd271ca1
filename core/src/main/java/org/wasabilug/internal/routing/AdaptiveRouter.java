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
 * Routes by predicted finish time, learned from own attempts and from late load reports.
 *
 * <p>State is bounded by the subset size for each pool and by the attempts in flight.
 */
public final class AdaptiveRouter implements EndpointRouter {
    private final WatchedEndpoints mWatched;
    private final EndpointChooser mChooser;
    private final EndpointStatuses mStatuses;
    private final RunningAttempts mRunning = new RunningAttempts();

    private AdaptiveRouter(Builder builder) {
        RoutingSettings settings = builder.mSettings;
        EndpointSubset subset =
                new EndpointSubset(builder.mInstance, builder.mOwnDomain, settings.subsetSize());
        mWatched =
                new WatchedEndpoints(subset, builder.mOwnDomain, builder.mConfiguration, settings);
        mChooser = new EndpointChooser(settings, builder.mGate, builder.mRandom, mWatched);
        mStatuses = new EndpointStatuses(mWatched, builder.mGate);
    }

    /**
     * Starts building.
     *
     * @return a builder with usual settings
     */
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
     * Takes in an endpoint's load report.
     *
     * @param endpoint the endpoint
     * @param report its report
     * @param nowNanos monotonic time, in nanoseconds
     */
    public void applyLoadReport(EndpointName endpoint, LoadReport report, long nowNanos) {
        EndpointTracker tracker = mWatched.tracker(endpoint);
        if (tracker != null && tracker.report(report, nowNanos)) {
            cacheOf(tracker).ifPresent(cache -> cache.forget(endpoint));
        }
    }

    /**
     * Takes in changes of an endpoint's prefix cache.
     *
     * @param endpoint the endpoint
     * @param events its changes
     * @param nowNanos monotonic time, in nanoseconds
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
     * Takes over the configuration in force.
     *
     * @param nowNanos monotonic time, in nanoseconds
     */
    public void configurationChanged(long nowNanos) {
        mWatched.refresh(nowNanos);
    }

    /**
     * Takes in the platform's instance list. An endpoint listed as leaving gets no new work until
     * it is listed as staying; one that is absent keeps its state, as the list lags.
     *
     * @param instances entries of the list
     */
    public void applyInstanceList(List<ListedInstance> instances) {
        mWatched.listed(instances);
    }

    /**
     * Sets how many entry instances share the endpoints, this one included.
     *
     * @param count the count, 1 or more
     */
    public void setInstanceCount(int count) {
        mChooser.instances(Math.max(1, count));
    }

    /**
     * Endpoints whose load this instance should read.
     *
     * @return the endpoints in use, pool by pool
     */
    public List<EndpointName> watchedEndpoints() {
        return mWatched.members().map(tracker -> tracker.endpoint().name()).toList();
    }

    /**
     * State of each endpoint in use, or with calls still in flight.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return the states, by name
     */
    public List<EndpointStatus> endpointStatuses(long nowNanos) {
        return mStatuses.at(nowNanos);
    }

    /** Builds an {@link AdaptiveRouter}. */
    public static final class Builder {
        private InstanceName mInstance;
        private FailureDomainName mOwnDomain;
        private ColdStartGate mGate;
        private Supplier<Configuration> mConfiguration;
        private UniformRandomProvider mRandom;
        private RoutingSettings mSettings = RoutingSettings.builder().build();

        private Builder() {}

        /**
         * Sets the name of this instance, which decides its subset of large pools.
         *
         * @param value the name
         * @return this builder
         */
        public Builder instance(InstanceName value) {
            mInstance = value;
            return this;
        }

        /**
         * Sets the failure domain of this instance.
         *
         * @param value the failure domain
         * @return this builder
         */
        public Builder localDomain(FailureDomainName value) {
            mOwnDomain = value;
            return this;
        }

        /**
         * Sets what limits work at cold endpoints.
         *
         * @param value the gate
         * @return this builder
         */
        public Builder coldStartGate(ColdStartGate value) {
            mGate = value;
            return this;
        }

        /**
         * Sets where the configuration in force is read.
         *
         * @param value the source; the same object as long as nothing has changed
         * @return this builder
         */
        public Builder configuration(Supplier<Configuration> value) {
            mConfiguration = value;
            return this;
        }

        /**
         * Sets the seeded source of random draws.
         *
         * @param value the source
         * @return this builder
         */
        public Builder random(UniformRandomProvider value) {
            mRandom = value;
            return this;
        }

        /**
         * Sets the settings.
         *
         * @param value the settings
         * @return this builder
         */
        public Builder settings(RoutingSettings value) {
            mSettings = value;
            return this;
        }

        /**
         * Builds the router.
         *
         * @return a router that knows no load yet
         */
        public AdaptiveRouter build() {
            return new AdaptiveRouter(this);
        }
    }
}
