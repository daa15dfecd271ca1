package org.wasabilug.internal.routing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;

/**
 * Subset of a large pool's endpoints that one instance uses, chosen by rendezvous hashing.
 *
 * <p>Half of the subset is in the local failure domain, the rest is spread evenly over the other
 * domains. Each failure domain that has endpoints is represented. Adding or removing one endpoint
 * replaces at most one member of the subset.
 */
final class EndpointSubset {
    private record Weighted(long weight, Endpoint endpoint) {}

    private final InstanceName mInstance;
    private final FailureDomainName mLocalDomain;
    private final int mSize;

    EndpointSubset(InstanceName instance, FailureDomainName localDomain, int size) {
        mInstance = instance;
        mLocalDomain = localDomain;
        mSize = size;
    }

    List<Endpoint> select(List<Endpoint> endpoints) {
        if (endpoints.size() <= mSize) {
            return endpoints;
        }
        Map<FailureDomainName, List<Endpoint>> byDomain = new TreeMap<>();
        for (Endpoint endpoint : endpoints) {
            byDomain.computeIfAbsent(endpoint.failureDomain(), domain -> new ArrayList<>())
                    .add(endpoint);
        }
        return choose(byDomain);
    }

    private List<Endpoint> choose(Map<FailureDomainName, List<Endpoint>> byDomain) {
        int localCount = byDomain.containsKey(mLocalDomain) ? mSize / 2 : 0;
        int remoteDomains = byDomain.size() - (localCount > 0 ? 1 : 0);
        int countPerRemoteDomain =
                remoteDomains == 0 ? 0 : Math.max(1, (mSize - localCount) / remoteDomains);
        List<Endpoint> chosen = new ArrayList<>();
        byDomain.forEach(
                (domain, members) -> {
                    boolean local = domain.equals(mLocalDomain);
                    int count =
                            local
                                    ? Math.max(
                                            localCount,
                                            mSize - remoteDomains * countPerRemoteDomain)
                                    : countPerRemoteDomain;
                    chosen.addAll(heaviest(members, count));
                });
        return chosen;
    }

    private List<Endpoint> heaviest(List<Endpoint> members, int count) {
        return members.stream()
                .map(endpoint -> new Weighted(weight(endpoint), endpoint))
                .sorted(Comparator.comparingLong(Weighted::weight).reversed())
                .limit(count)
                .map(Weighted::endpoint)
                .sorted(Comparator.comparing(Endpoint::name))
                .toList();
    }

    private long weight(Endpoint endpoint) {
        return Hashing.farmHashFingerprint64()
                .newHasher()
                .putString(mInstance.value(), StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(endpoint.name().value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
