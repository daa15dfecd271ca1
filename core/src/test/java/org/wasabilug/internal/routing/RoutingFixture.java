package org.wasabilug.internal.routing;

import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.grant.ColdStartGate;
import org.wasabilug.model.ConfigurationObject;
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
import org.wasabilug.port.LoadReport;
import org.wasabilug.port.VersionedObject;

/** A router over a configuration that a test changes, with time in milliseconds. */
final class RoutingFixture {
    static final PoolName POOL = new PoolName("encoders");
    static final FailureDomainName OWN = new FailureDomainName("rennes");
    static final FailureDomainName OTHER = new FailureDomainName("brest");
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;

    private final Map<EndpointName, Integer> mAllowances = new HashMap<>();
    private Configuration mConfiguration = Configuration.empty();
    private long mTicket;
    private long mAttempt;
    private AdaptiveRouter mRouter = routerWith(RoutingSettings.builder().build());

    private AdaptiveRouter routerWith(RoutingSettings settings) {
        return AdaptiveRouter.builder()
                .instance(new InstanceName("entry-1"))
                .localDomain(OWN)
                .coldStartGate(
                        (endpoint, now) ->
                                mAllowances.getOrDefault(endpoint.name(), ColdStartGate.UNLIMITED))
                .configuration(() -> mConfiguration)
                .random(RandomSource.XO_RO_SHI_RO_128_PP.create(7L))
                .settings(settings)
                .build();
    }

    RoutingFixture settings(RoutingSettings settings) {
        mRouter = routerWith(settings);
        return this;
    }

    RoutingFixture domain(FailureDomainName name, DomainState state) {
        put(FailureDomain.builder().name(name).state(state).build());
        return this;
    }

    RoutingFixture endpoints(FailureDomainName domain, String... names) {
        for (String name : names) {
            put(endpoint(name, domain).build());
        }
        return this;
    }

    static Endpoint.Builder endpoint(String name, FailureDomainName domain) {
        return Endpoint.builder()
                .name(new EndpointName(name))
                .pool(POOL)
                .failureDomain(domain)
                .address(URI.create("http://127.0.0.1:9"))
                .concurrencyLimit(8);
    }

    void put(ConfigurationObject object) {
        VersionedObject versioned =
                new VersionedObject(object.objectKey(), ++mTicket, Optional.of(object));
        mConfiguration = mConfiguration.merge(List.of(versioned));
    }

    void allow(String endpoint, int calls) {
        mAllowances.put(new EndpointName(endpoint), calls);
    }

    AdaptiveRouter router() {
        return mRouter;
    }

    static RoutingQuery query() {
        return query(false, List.of());
    }

    static RoutingQuery query(boolean suspect, List<Long> prefixes) {
        return new RoutingQuery(
                POOL, new WorkspaceName("site"), prefixes, Set.of(), nanos(4000), suspect);
    }

    static long nanos(long milliseconds) {
        return milliseconds * NANOS_PER_MILLISECOND;
    }

    /** Name of the chosen endpoint; empty where there was none. */
    Optional<String> choice(RoutingQuery query, long atMilliseconds) {
        return mRouter.route(query, nanos(atMilliseconds))
                        instanceof
                        RoutingDecision.Chosen(Endpoint endpoint, int candidates, String reason)
                ? Optional.of(endpoint.name().value())
                : Optional.empty();
    }

    List<String> choices(int count, long atMilliseconds) {
        List<String> names = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            choice(query(), atMilliseconds).ifPresent(names::add);
        }
        return names;
    }

    AttemptId dispatch(String endpoint, RoutingQuery query, long atMilliseconds) {
        AttemptId attempt =
                new AttemptId(new RequestId("r" + ++mAttempt), new StageName("encode"), 1);
        mRouter.dispatched(attempt, new EndpointName(endpoint), query, nanos(atMilliseconds));
        return attempt;
    }

    void run(String endpoint, AttemptEnd end, long from, long until) {
        AttemptId attempt = dispatch(endpoint, query(), from);
        mRouter.ended(attempt, end, nanos(until));
    }

    void report(String endpoint, boolean cold, int inFlight, long ageMilliseconds, long at) {
        mRouter.applyLoadReport(
                new EndpointName(endpoint),
                new LoadReport(1, cold, inFlight, 0, ageMilliseconds),
                nanos(at));
    }

    String state(String endpoint, long atMilliseconds) {
        return mRouter.endpointStatuses(nanos(atMilliseconds)).stream()
                .filter(status -> status.name().value().equals(endpoint))
                .findFirst()
                .orElseThrow()
                .state();
    }
}
