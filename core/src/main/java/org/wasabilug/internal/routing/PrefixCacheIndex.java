package org.wasabilug.internal.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import org.wasabilug.model.EndpointName;
import org.wasabilug.port.CacheEvents;

/**
 * Prefixes that the endpoints of a pool surely hold, by what their cache events told.
 *
 * <p>A gap in the sequence or another life of the process clears what is known of the endpoint, as
 * anything may have been evicted meanwhile. Memory is bounded for each endpoint; the oldest entries
 * go first.
 */
final class PrefixCacheIndex {
    /** Endpoints that hold the longest known prefix. */
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
        CachedPrefixes held = mCached.computeIfAbsent(endpoint, name -> startingAt(events));
        long count = (long) events.stored().size() + events.evicted().size();
        boolean old =
                events.generation() < held.mGeneration
                        || (events.generation() == held.mGeneration
                                && events.firstSequence() + count <= held.mNextSequence);
        if (old) {
            return;
        }
        boolean certain =
                events.generation() == held.mGeneration
                        && events.firstSequence() <= held.mNextSequence;
        if (!certain) {
            clear(endpoint, held);
        }
        held.mGeneration = events.generation();
        held.mNextSequence = events.firstSequence() + count;
        events.stored().forEach(hash -> store(endpoint, held, hash));
        // Within a batch the order is unknown; what was evicted at any time is not certain.
        events.evicted().forEach(hash -> drop(endpoint, held, hash));
    }

    private static CachedPrefixes startingAt(CacheEvents events) {
        CachedPrefixes held = new CachedPrefixes();
        held.mGeneration = events.generation();
        held.mNextSequence = events.firstSequence();
        return held;
    }

    private void store(EndpointName endpoint, CachedPrefixes held, Long hash) {
        if (held.mHashes.add(hash)) {
            mHolders.computeIfAbsent(hash, key -> new ArrayList<>(1)).add(endpoint);
        }
        if (held.mHashes.size() > mEntriesPerEndpoint) {
            drop(endpoint, held, held.mHashes.getFirst());
        }
    }

    private void drop(EndpointName endpoint, CachedPrefixes held, Long hash) {
        if (held.mHashes.remove(hash)) {
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

    private void clear(EndpointName endpoint, CachedPrefixes held) {
        held.mHashes.forEach(hash -> removeHolder(endpoint, hash));
        held.mHashes.clear();
    }

    /** Forgets an endpoint that restarted or is no longer used. */
    void remove(EndpointName endpoint) {
        CachedPrefixes held = mCached.remove(endpoint);
        if (held != null) {
            clear(endpoint, held);
        }
    }

    /** Endpoints with the longest of the growing prefixes; none where nobody holds any. */
    Match longest(List<Long> prefixHashes) {
        for (int index = prefixHashes.size() - 1; index >= 0; index--) {
            List<EndpointName> holders = mHolders.get(prefixHashes.get(index));
            if (holders != null) {
                return new Match(holders, (index + 1.0) / prefixHashes.size());
            }
        }
        return new Match(List.of(), 0);
    }

    int entries() {
        return mCached.values().stream().mapToInt(held -> held.mHashes.size()).sum();
    }
}
