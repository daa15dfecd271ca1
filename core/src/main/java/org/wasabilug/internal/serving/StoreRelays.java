package org.wasabilug.internal.serving;

import java.util.Collection;
import java.util.List;
import java.util.stream.Stream;

/**
 * Chooses which instances tell an instance that can't read the store what it holds.
 *
 * <p>It answers a store that turns many instances away at once: if all others told each of them,
 * the links of a large fleet would be full.
 */
public final class StoreRelays {
    /** Enough for one of them to fail unnoticed. */
    private static final int RELAY_COUNT = 2;

    private StoreRelays() {}

    /**
     * An instance that is heard.
     *
     * @param name its name
     * @param domain its failure domain
     * @param readsStore true while the store answers it
     */
    public record Candidate(String name, String domain, boolean readsStore) {}

    /**
     * Chooses the tellers of an instance: of its own failure domain where any there read the store,
     * else any that read it, else any at all.
     *
     * @param name the instance that can't read the store
     * @param domain its failure domain
     * @param heard all instances that are heard
     * @return at most two names
     */
    public static List<String> choose(String name, String domain, Collection<Candidate> heard) {
        List<Candidate> others =
                heard.stream().filter(candidate -> !candidate.name().equals(name)).toList();
        List<Candidate> reading = others.stream().filter(Candidate::readsStore).toList();
        List<Candidate> near =
                reading.stream().filter(candidate -> candidate.domain().equals(domain)).toList();
        List<Candidate> candidates =
                Stream.of(near, reading, others)
                        .filter(each -> !each.isEmpty())
                        .findFirst()
                        .orElse(List.of());
        return RendezvousHashing.choose(
                name, candidates.stream().map(Candidate::name).toList(), RELAY_COUNT);
    }
}
