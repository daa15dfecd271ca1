package org.wasabilug.internal.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import org.wasabilug.model.EndpointName;
import org.wasabilug.port.CacheEvents;

/**
 * Prefixes that the endpoints of a pool are certain to have cached, according to their cache
 * events.
 *
 * <p>A gap in the event sequence or a new process incarnation clears the entries of the endpoint,
 * because any prefix may have been evicted in the meantime. Memory per endpoint is bounded; the
 * oldest entries are evicted first.
 */
final class PrefixCacheIndex {
    /**
     * Endpoints that have cached the longest matching prefix, and the share of the prefix hashes
     * that it covers.
     */
    record Match(List<EndpointName> endpoints, double share) {}

    private static final class CachedPrefixes {
        private final LinkedHashSet<Long> mHashes = new LinkedHashSet<>();
        private long mGeneration;
        private long mNextSequence;
    }

    private final int mEntriesPerEndpoint;
    private final Map<EndpointName, CachedPrefixes> mCached = new HashMap<>();
    private final Map<Long, List<EndpointName>> mHolders = new HashMap<>();

    PrefixCacheIndex(int entriesPerEndpoint) {
        mEntriesPerEndpoint = entriesPerEndpoint;
    }

    void apply(EndpointName endpoint, CacheEvents events) {
        CachedPrefixes cached = mCached.computeIfAbsent(endpoint, name -> startingAt(events));
        long count = (long) events.stored().size() + events.evicted().size();
        boolean alreadyApplied =
                events.generation() < cached.mGeneration
                        || (events.generation() == cached.mGeneration
                                && events.firstSequence() + count <= cached.mNextSequence);
        if (alreadyApplied) {
            return;
        }
        boolean contiguous =
                events.generation() == cached.mGeneration
                        && events.firstSequence() <= cached.mNextSequence;
        if (!contiguous) {
            clear(endpoint, cached);
        }
        cached.mGeneration = events.generation();
        cached.mNextSequence = events.firstSequence() + count;
        events.stored().forEach(hash -> store(endpoint, cached, hash));
        // The order within a batch is unknown, so every prefix that the batch evicts is dropped.
        events.evicted().forEach(hash -> drop(endpoint, cached, hash));
    }

    private static CachedPrefixes startingAt(CacheEvents events) {
        CachedPrefixes cached = new CachedPrefixes();
        cached.mGeneration = events.generation();
        cached.mNextSequence = events.firstSequence();
        return cached;
    }

    private void store(EndpointName endpoint, CachedPrefixes cached, Long hash) {
        if (cached.mHashes.add(hash)) {
            mHolders.computeIfAbsent(hash, key -> new ArrayList<>(1)).add(endpoint);
        }
        if (cached.mHashes.size() > mEntriesPerEndpoint) {
            drop(endpoint, cached, cached.mHashes.getFirst());
        }
    }

    private void drop(EndpointName endpoint, CachedPrefixes cached, Long hash) {
        if (cached.mHashes.remove(hash)) {
            removeHolder(endpoint, hash);
        }
    }

    private void removeHolder(EndpointName endpoint, Long hash) {
        List<EndpointName> holders = mHolders.get(hash);
        holders.remove(endpoint);
        if (holders.isEmpty()) {
            mHolders.remove(hash);
        }
    }

    private void clear(EndpointName endpoint, CachedPrefixes cached) {
        cached.mHashes.forEach(hash -> removeHolder(endpoint, hash));
        cached.mHashes.clear();
    }

    /** Removes an endpoint that restarted or is no longer used. */
    void remove(EndpointName endpoint) {
        CachedPrefixes cached = mCached.remove(endpoint);
        if (cached != null) {
            clear(endpoint, cached);
        }
    }

    /**
     * Finds the endpoints that have cached the longest of the given prefixes, ordered by length.
     * The match is empty if no endpoint has cached any.
     */
    Match findLongestMatch(List<Long> prefixHashes) {
        for (int index = prefixHashes.size() - 1; index >= 0; index--) {
            List<EndpointName> holders = mHolders.get(prefixHashes.get(index));
            if (holders != null) {
                return new Match(holders, (index + 1.0) / prefixHashes.size());
            }
        }
        return new Match(List.of(), 0);
    }

    int entryCount() {
        return mCached.values().stream().mapToInt(cached -> cached.mHashes.size()).sum();
    }
}
