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
 * Endpoints of a large pool that one instance uses, by rendezvous hashing.
 *
 * <p>Half of the subset is in the own failure domain, the rest spread evenly over the others; no
 * failure domain with endpoints is left out. One endpoint's coming or going changes at most one
 * other member.
 */
final class EndpointSubset {
    private record Weighted(long weight, Endpoint endpoint) {}

    private final InstanceName mInstance;
    private final FailureDomainName mLocalDomain;
    private final int mSize;

    EndpointSubset(InstanceName instance, FailureDomainName ownDomain, int size) {
        mInstance = instance;
        mLocalDomain = ownDomain;
        mSize = size;
    }

    List<Endpoint> of(List<Endpoint> endpoints) {
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
        int ownPart = byDomain.containsKey(mLocalDomain) ? mSize / 2 : 0;
        int others = byDomain.size() - (ownPart > 0 ? 1 : 0);
        int otherPart = others == 0 ? 0 : Math.max(1, (mSize - ownPart) / others);
        List<Endpoint> chosen = new ArrayList<>();
        byDomain.forEach(
                (domain, members) -> {
                    boolean own = domain.equals(mLocalDomain);
                    int part = own ? Math.max(ownPart, mSize - others * otherPart) : otherPart;
                    chosen.addAll(heaviest(members, part));
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
