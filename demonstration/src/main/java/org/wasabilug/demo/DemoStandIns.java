package org.wasabilug.demo;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ListMultimap;
import com.google.common.io.Closer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.pekko.actor.ActorSystem;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.PoolName;
import org.wasabilug.port.ListedInstance;
import org.wasabilug.port.ListedRole;
import org.wasabilug.standin.StandInEndpoint;
import org.wasabilug.standin.StandInPlatform;
import org.wasabilug.standin.StandInSystem;

/** Stand-ins for the platform and for one endpoint of each pool in each failure domain. */
final class DemoStandIns implements AutoCloseable {
    static final List<String> DOMAINS = List.of("rennes", "brest", "lorient");
    static final List<String> POOLS = List.of("encoders", "retrievers", "rerankers", "generators");

    private static final int CONCURRENCY = 16;
    private static final int COLD_LIMIT = 2;
    private static final Duration SHORT_STAGE = Duration.ofMillis(10);
    private static final Duration FIRST_TOKEN = Duration.ofMillis(60);
    private static final Duration TOKEN = Duration.ofMillis(8);

    private final Closer mResources = Closer.create();
    private final StandInPlatform mPlatform;
    private final List<Endpoint> mEndpoints = new ArrayList<>();
    private final ListMultimap<String, StandInEndpoint> mByDomain = ArrayListMultimap.create();

    DemoStandIns() {
        ActorSystem system = StandInSystem.start("stand-ins");
        mResources.register(system::terminate);
        mPlatform = StandInPlatform.builder().actorSystem(system).start();
        mResources.register(mPlatform::close);
        for (String domain : DOMAINS) {
            for (String pool : POOLS) {
                mEndpoints.add(startEndpoint(system, domain, pool));
            }
        }
    }

    private Endpoint startEndpoint(ActorSystem system, String domain, String pool) {
        boolean generates = pool.equals("generators");
        StandInEndpoint endpoint =
                StandInEndpoint.builder()
                        .actorSystem(system)
                        .name(domain + "-" + pool)
                        .concurrency(CONCURRENCY)
                        .coldLimit(COLD_LIMIT)
                        .timeToFirstToken(generates ? FIRST_TOKEN : SHORT_STAGE)
                        .timeBetweenTokens(generates ? TOKEN : Duration.ofMillis(1))
                        .start();
        mResources.register(endpoint::close);
        mByDomain.put(domain, endpoint);
        return Endpoint.builder()
                .name(new EndpointName(endpoint.name()))
                .pool(new PoolName(pool))
                .failureDomain(new FailureDomainName(domain))
                .address(endpoint.baseUri())
                .concurrencyLimit(CONCURRENCY)
                .coldLimit(COLD_LIMIT)
                .build();
    }

    StandInPlatform platform() {
        return mPlatform;
    }

    List<Endpoint> endpoints() {
        return mEndpoints;
    }

    /** Returns the calls that endpoints have received since they started, by failure domain. */
    Map<String, Long> receivedCalls() {
        Map<String, Long> received = new LinkedHashMap<>();
        for (String domain : DOMAINS) {
            received.put(
                    domain,
                    mByDomain.get(domain).stream()
                            .mapToLong(endpoint -> endpoint.counts().received())
                            .sum());
        }
        return received;
    }

    /** Registers an entry instance in the platform's list, as the platform does on start-up. */
    void registerInstance(String name, String domain, InetSocketAddress peerAddress) {
        mPlatform.listInstance(
                new ListedInstance(
                        name,
                        ListedRole.ENTRY,
                        new FailureDomainName(domain),
                        peerAddress.getAddress().getHostAddress() + ":" + peerAddress.getPort(),
                        false));
    }

    @Override
    public void close() {
        try {
            mResources.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
