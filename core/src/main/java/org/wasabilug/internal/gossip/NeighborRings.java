package org.wasabilug.internal.gossip;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Chooses the instances with which an instance exchanges states directly.
 *
 * <p>All instances are ordered in two rings, and the neighbors of an instance are those before and
 * after it. One ring is in order of a hash, so that paths are short; in the other the instances of
 * a failure domain stand together, so that the domain stays connected when it is cut off. Random
 * rings are an expander with high probability (Law and Siu, Distributed Construction of Random
 * Expander Networks, 2003). Instances that know the same instances choose each other.
 */
public final class NeighborRings {
    private static final HashFunction SPREAD = Hashing.murmur3_128(1);
    private static final HashFunction LOCAL = Hashing.murmur3_128(2);

    private static final Comparator<Position> SPREAD_RING =
            Comparator.comparingLong(Position::spread).thenComparing(Position::name);
    private static final Comparator<Position> DOMAIN_RING =
            Comparator.comparing(Position::domain)
                    .thenComparingLong(Position::local)
                    .thenComparing(Position::name);

    private final Position mLocal;
    private final Map<String, Position> mPositions = new HashMap<>();
    private final List<NavigableSet<Position>> mRings =
            List.of(new TreeSet<>(SPREAD_RING), new TreeSet<>(DOMAIN_RING));

    private record Position(String name, String domain, long spread, long local) {}

    /**
     * Creates rings without other instances.
     *
     * @param local name of the instance whose neighbors are chosen
     * @param failureDomain its failure domain
     */
    public NeighborRings(String local, String failureDomain) {
        mLocal = position(local, failureDomain);
    }

    private static Position position(String name, String failureDomain) {
        return new Position(name, failureDomain, hash(SPREAD, name), hash(LOCAL, name));
    }

    private static long hash(HashFunction function, String name) {
        return function.hashString(name, StandardCharsets.UTF_8).asLong();
    }

    /**
     * Adds an instance, or moves it to another failure domain.
     *
     * @param name name of the instance; the local one is passed over
     * @param failureDomain its failure domain; empty while it is unknown
     */
    public void place(String name, String failureDomain) {
        Position old = mPositions.get(name);
        boolean placed = old != null && old.domain().equals(failureDomain);
        if (placed || name.equals(mLocal.name())) {
            return;
        }
        Position position = position(name, failureDomain);
        mPositions.put(name, position);
        for (NavigableSet<Position> ring : mRings) {
            if (old != null) {
                ring.remove(old);
            }
            ring.add(position);
        }
    }

    /**
     * Returns the neighbors among some of the instances.
     *
     * @param eligible returns whether an instance may be chosen
     * @return up to four names
     */
    public Set<String> neighbors(Predicate<String> eligible) {
        Set<String> neighbors = new LinkedHashSet<>();
        for (NavigableSet<Position> ring : mRings) {
            next(ring, eligible).ifPresent(neighbors::add);
            next(ring.descendingSet(), eligible).ifPresent(neighbors::add);
        }
        return neighbors;
    }

    private Optional<String> next(NavigableSet<Position> ring, Predicate<String> eligible) {
        return Stream.concat(ring.tailSet(mLocal).stream(), ring.headSet(mLocal).stream())
                .map(Position::name)
                .filter(eligible)
                .findFirst();
    }
}
