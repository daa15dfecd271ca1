package org.wasabilug.port;

import java.util.List;

/**
 * Changes of an endpoint's prefix cache; they come late and with gaps.
 *
 * @param generation number of the endpoint process's life
 * @param firstSequence sequence number of the first event of this batch
 * @param stored prefix hashes that entered the cache
 * @param evicted prefix hashes that left the cache
 */
public record CacheEvents(
        long generation, long firstSequence, List<Long> stored, List<Long> evicted) {
    /** Copies the lists. */
    public CacheEvents {
        stored = List.copyOf(stored);
        evicted = List.copyOf(evicted);
    }
}
