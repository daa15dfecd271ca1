package org.wasabilug.bench.internal.jmh;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.apache.commons.rng.simple.RandomSource;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.grant.ColdStartGate;
import org.wasabilug.internal.routing.AdaptiveRouter;
import org.wasabilug.internal.routing.RoutingDecision;
import org.wasabilug.internal.routing.RoutingQuery;
import org.wasabilug.internal.routing.RoutingSettings;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomain;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.port.CacheEvents;
import org.wasabilug.port.LoadReport;
import org.wasabilug.port.VersionedObject;

/** Measures the time of one routing decision among 550 endpoints. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RoutingDecisionBenchmark {
    private static final int ENDPOINTS = 550;
    private static final int DOMAINS = 3;
    private static final int DISTINCT_LOADS = 16;
    private static final int PREFIXES = 8;
    private static final long REMAINING_NANOS = 4_000_000_000L;
    private static final PoolName POOL = new PoolName("generators");

    private AdaptiveRouter mRouter;
    private RoutingQuery mQuery;
    private RoutingQuery mQueryWithPrefixes;
    private long mNowNanos;

    /** Creates a router that has received the load and the cache contents of all endpoints. */
    @Setup
    public void setUp() {
        Configuration configuration = configuration();
        mRouter =
                AdaptiveRouter.builder()
                        .instance(new InstanceName("entry"))
                        .localDomain(domainOf(0))
                        .coldStartGate((endpoint, now) -> ColdStartGate.UNLIMITED)
                        .configuration(() -> configuration)
                        .random(RandomSource.XO_RO_SHI_RO_128_PP.create(1L))
                        .settings(RoutingSettings.builder().subsetSize(ENDPOINTS).build())
                        .build();
        mRouter.configurationChanged(0);
        mRouter.watchedEndpoints().forEach(this::applyReports);
        mQuery = query(List.of());
        mQueryWithPrefixes = query(LongStream.range(0, PREFIXES).boxed().toList());
    }

    private void applyReports(EndpointName endpoint) {
        int load = Math.floorMod(endpoint.hashCode(), DISTINCT_LOADS);
        mRouter.applyLoadReport(endpoint, new LoadReport(1, false, load, 0, 0), 0);
        mRouter.applyCacheEvents(
                endpoint, new CacheEvents(1, 0, List.of((long) load), List.of()), 0);
    }

    private static RoutingQuery query(List<Long> prefixes) {
        return new RoutingQuery(
                POOL, new WorkspaceName("site"), prefixes, Set.of(), REMAINING_NANOS, false);
    }

    private static FailureDomainName domainOf(int index) {
        return new FailureDomainName("domain-" + index % DOMAINS);
    }

    private static Configuration configuration() {
        List<VersionedObject> objects = new ArrayList<>();
        for (int index = 0; index < ENDPOINTS; index++) {
            FailureDomain domain = FailureDomain.builder().name(domainOf(index)).build();
            Endpoint endpoint =
                    Endpoint.builder()
                            .name(new EndpointName("engine-" + index))
                            .pool(POOL)
                            .failureDomain(domain.name())
                            .address(URI.create("http://127.0.0.1:9"))
                            .build();
            objects.add(new VersionedObject(domain.objectKey(), 1, Optional.of(domain)));
            objects.add(new VersionedObject(endpoint.objectKey(), 1, Optional.of(endpoint)));
        }
        return Configuration.empty().merge(objects);
    }

    /**
     * Decides by predicted finish time alone.
     *
     * @return the decision, so that JMH does not eliminate the call
     */
    @Benchmark
    public RoutingDecision decide() {
        mNowNanos++;
        return mRouter.route(mQuery, mNowNanos);
    }

    /**
     * Decides with a lookup of eight prefixes in the caches as well.
     *
     * @return the decision, so that JMH does not eliminate the call
     */
    @Benchmark
    public RoutingDecision decideWithPrefixes() {
        mNowNanos++;
        return mRouter.route(mQueryWithPrefixes, mNowNanos);
    }
}
