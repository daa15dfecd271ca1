package org.wasabilug.comparison;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.LongStream;
import org.apache.commons.rng.simple.RandomSource;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.grant.ColdStartGate;
import org.wasabilug.internal.routing.AdaptiveRouter;
import org.wasabilug.internal.routing.AttemptEnd;
import org.wasabilug.internal.routing.RoutingDecision;
import org.wasabilug.internal.routing.RoutingQuery;
import org.wasabilug.internal.routing.RoutingSettings;
import org.wasabilug.model.DomainState;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomain;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.port.CacheEvents;
import org.wasabilug.port.LoadReport;
import org.wasabilug.port.VersionedObject;

/** Prints the mean time of a routing decision among 550 endpoints. */
public final class RoutingDecisionTime {
    private static final int ENDPOINTS = 550;
    private static final int ROUNDS = 8;
    private static final int DECISIONS = 500_000;
    private static final PoolName POOL = new PoolName("generators");

    private RoutingDecisionTime() {}

    /**
     * Measures decisions without and with prefix hashes, then with dispatch and end of the attempt.
     *
     * @param arguments ignored
     */
    public static void main(String[] arguments) {
        AdaptiveRouter router = router();
        List<Long> prefixes = LongStream.range(0, 8).boxed().toList();
        for (int round = 0; round < ROUNDS; round++) {
            System.out.printf(
                    "decision %d ns, with prefixes %d ns, with dispatch and end %d ns%n",
                    decide(router, query(List.of())),
                    decide(router, query(prefixes)),
                    decideAndRun(router, query(List.of())));
        }
    }

    private static RoutingQuery query(List<Long> prefixes) {
        return new RoutingQuery(
                POOL, new WorkspaceName("site"), prefixes, Set.of(), 4_000_000_000L, false);
    }

    private static AdaptiveRouter router() {
        Configuration configuration = configuration();
        AdaptiveRouter router =
                AdaptiveRouter.builder()
                        .instance(new InstanceName("entry"))
                        .localDomain(new FailureDomainName("domain-0"))
                        .coldStartGate((endpoint, now) -> ColdStartGate.UNLIMITED)
                        .configuration(() -> configuration)
                        .random(RandomSource.XO_RO_SHI_RO_128_PP.create(1L))
                        .settings(RoutingSettings.builder().subsetSize(ENDPOINTS).build())
                        .build();
        router.configurationChanged(0);
        for (EndpointName endpoint : router.watchedEndpoints()) {
            int load = Math.floorMod(endpoint.hashCode(), 16);
            router.applyLoadReport(endpoint, new LoadReport(1, false, load, 0, 100), 0);
            CacheEvents events = new CacheEvents(1, 0, List.of((long) load), List.of());
            router.applyCacheEvents(endpoint, events, 0);
        }
        return router;
    }

    private static Configuration configuration() {
        List<VersionedObject> objects = new ArrayList<>();
        for (int index = 0; index < ENDPOINTS; index++) {
            FailureDomain domain =
                    FailureDomain.builder()
                            .name(new FailureDomainName("domain-" + index % 3))
                            .state(DomainState.IN_SERVICE)
                            .build();
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

    private static long decide(AdaptiveRouter router, RoutingQuery query) {
        long startNanos = System.nanoTime();
        for (int count = 0; count < DECISIONS; count++) {
            router.route(query, count);
        }
        return (System.nanoTime() - startNanos) / DECISIONS;
    }

    private static long decideAndRun(AdaptiveRouter router, RoutingQuery query) {
        AttemptId attempt = new AttemptId(new RequestId("r"), new StageName("generate"), 1);
        long startNanos = System.nanoTime();
        for (int count = 0; count < DECISIONS; count++) {
            if (router.route(query, count) instanceof RoutingDecision.Chosen chosen) {
                router.dispatched(attempt, chosen.endpoint().name(), query, count);
                router.ended(attempt, AttemptEnd.SUCCEEDED, count + 1);
            }
        }
        return (System.nanoTime() - startNanos) / DECISIONS;
    }
}
