package org.wasabilug.internal.serving;

import java.util.Collection;
import java.util.List;
import java.util.stream.Stream;

/**
 * Chooses the instances that relay the store's contents to an instance that cannot read the store.
 *
 * <p>The number of relays is limited because a store may reject many instances at once. If every
 * other instance relayed to each of them, the network links of a large fleet would be saturated.
 */
public final class StoreRelays {
    /** Two relays, so that one of them may fail without effect. */
    private static final int RELAY_COUNT = 2;

    private StoreRelays() {}

    /**
     * A reachable instance.
     *
     * @param name name of the instance
     * @param domain failure domain of the instance
     * @param readsStore true while the instance can read the store
     */
    public record Candidate(String name, String domain, boolean readsStore) {}

    /**
     * Chooses the relays of an instance. Instances of the same failure domain that can read the
     * store are preferred, then any instances that can read it, then any other instances.
     *
     * @param name name of the instance that cannot read the store
     * @param domain failure domain of that instance
     * @param reachable all reachable instances
     * @return names of the relays, at most two
     */
    public static List<String> choose(String name, String domain, Collection<Candidate> reachable) {
        List<Candidate> others =
                reachable.stream().filter(candidate -> !candidate.name().equals(name)).toList();
        List<Candidate> reading = others.stream().filter(Candidate::readsStore).toList();
        List<Candidate> sameDomain =
                reading.stream().filter(candidate -> candidate.domain().equals(domain)).toList();
        List<Candidate> candidates =
                Stream.of(sameDomain, reading, others)
                        .filter(each -> !each.isEmpty())
                        .findFirst()
                        .orElse(List.of());
        return RendezvousHashing.choose(
                name, candidates.stream().map(Candidate::name).toList(), RELAY_COUNT);
    }
}
