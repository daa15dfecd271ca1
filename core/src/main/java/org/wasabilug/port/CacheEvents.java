package org.wasabilug.port;

import java.util.List;

/**
 * Changes of an endpoint's prefix cache, which arrive with delay and with gaps.
 *
 * @param generation generation of the endpoint's process
 * @param firstSequence sequence number of the first event of this batch
 * @param stored hashes of prefixes that were added to the cache
 * @param evicted hashes of prefixes that were evicted from the cache
 */
public record CacheEvents(
        long generation, long firstSequence, List<Long> stored, List<Long> evicted) {
    /** Copies the lists. */
    public CacheEvents {
        stored = List.copyOf(stored);
        evicted = List.copyOf(evicted);
    }
}
