package org.wasabilug.bench.internal.virtual;

import java.util.List;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.PoolName;
import org.wasabilug.scenarios.internal.fake.EndpointProfile;
import org.wasabilug.scenarios.internal.fake.FakeEndpoint;
import org.wasabilug.scenarios.internal.fleet.FleetShape;

/** Computes the requests per second that a deployment can serve with all slots busy. */
final class Capacity {
    private static final double NANOS_PER_SECOND = 1e9;

    private final FleetShape mShape;

    Capacity(FleetShape shape) {
        mShape = shape;
    }

    /** Returns the capacity that remains during a disturbance, in requests per second. */
    double perSecond(Disturbance disturbance) {
        return mShape.profiles().keySet().stream()
                .mapToDouble(pool -> poolCapacity(pool, disturbance) / callsPerRequest(pool))
                .min()
                .orElseThrow();
    }

    private double callsPerRequest(PoolName pool) {
        double calls = 0;
        for (Pipeline pipeline : mShape.pipelines()) {
            long stages =
                    pipeline.stages().stream().filter(stage -> stage.pool().equals(pool)).count();
            calls += stages * RequestMix.shareOf(pipeline.name());
        }
        return calls;
    }

    private double poolCapacity(PoolName pool, Disturbance disturbance) {
        List<Endpoint> endpoints =
                mShape.endpoints().stream().filter(each -> each.pool().equals(pool)).toList();
        double callNanos = callNanosAtFullLoad(mShape.profiles().get(pool));
        return endpoints.stream()
                .mapToDouble(
                        endpoint ->
                                relativeSpeed(
                                                endpoint,
                                                endpoint == endpoints.getFirst(),
                                                disturbance)
                                        * endpoint.concurrencyLimit()
                                        * NANOS_PER_SECOND
                                        / callNanos)
                .sum();
    }

    private static double callNanosAtFullLoad(EndpointProfile profile) {
        double chunks = (profile.minChunks() + profile.maxChunks()) / 2.0;
        double unloaded = profile.firstChunkNanos() + chunks * profile.chunkNanos();
        return unloaded * FakeEndpoint.slowdown(1);
    }

    private double relativeSpeed(Endpoint endpoint, boolean firstOfPool, Disturbance disturbance) {
        String pool = endpoint.pool().value();
        return switch (disturbance) {
            case Disturbance.SlowStage slow when slow.pool().equals(pool) -> 1 / slow.factor();
            case Disturbance.SlowEndpoint slow when firstOfPool && slow.pool().equals(pool) ->
                    1 / slow.factor();
            case Disturbance.FailingEndpoint failing
                    when firstOfPool && failing.pool().equals(pool) ->
                    0;
            case Disturbance.ColdDomain() when isInFirstDomain(endpoint) -> 0;
            case Disturbance.DomainMove() when isInFirstDomain(endpoint) -> 0;
            default -> 1;
        };
    }

    private boolean isInFirstDomain(Endpoint endpoint) {
        return endpoint.failureDomain().equals(firstDomain(mShape));
    }

    static FailureDomainName firstDomain(FleetShape shape) {
        return shape.instances().values().iterator().next();
    }
}
