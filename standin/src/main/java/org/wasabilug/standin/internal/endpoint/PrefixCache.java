package org.wasabilug.standin.internal.endpoint;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wasabilug.port.CacheEvents;
import org.wasabilug.standin.EndpointFaults;

/**
 * Prefix cache that evicts the least recently used prefix and keeps a log of the events of its
 * changes.
 */
public final class PrefixCache {
    private static final int MAXIMUM_EVENTS = 8192;

    private final int mCapacity;
    private final LinkedHashSet<Long> mCached = new LinkedHashSet<>();
    private final Deque<Event> mEvents = new ArrayDeque<>();
    private long mLastSequence;
    private long mGeneration;

    /**
     * Creates an empty cache.
     *
     * @param capacity maximum number of prefixes
     */
    public PrefixCache(int capacity) {
        mCapacity = capacity;
    }

    /**
     * Looks up the prefixes of a call, stores the missing ones and evicts the oldest beyond
     * capacity.
     *
     * @param generation generation that holds the cache; a new one starts with an empty cache
     * @param prefixes hashes of the prefixes, shortest first
     * @param nowNanos current time, monotonic, in nanoseconds
     */
    public synchronized void recordUse(long generation, List<Long> prefixes, long nowNanos) {
        startGeneration(generation);
        for (Long prefix : prefixes) {
            if (!mCached.remove(prefix)) {
                add(new Event(++mLastSequence, prefix, true, nowNanos));
            }
            mCached.add(prefix);
        }
        while (mCached.size() > mCapacity) {
            Long oldest = mCached.getFirst();
            mCached.remove(oldest);
            add(new Event(++mLastSequence, oldest, false, nowNanos));
        }
    }

    /**
     * Returns the cache events after a sequence number, delayed and with gaps according to the
     * faults. A response holds one run of consecutive events; those after a gap need a further
     * poll.
     *
     * @param generation current generation
     * @param afterSequence last sequence number that the client has seen; one above the last event,
     *     as from an earlier generation, restarts at the first event
     * @param faults lag and gaps
     * @param nowNanos current time, monotonic, in nanoseconds
     */
    public synchronized CacheEvents eventsAfter(
            long generation, long afterSequence, EndpointFaults faults, long nowNanos) {
        startGeneration(generation);
        long lagNanos = TimeUnit.MILLISECONDS.toNanos(faults.cacheEventLagMilliseconds());
        long lastSeen = afterSequence > mLastSequence ? 0 : afterSequence;
        List<Long> stored = new ArrayList<>();
        List<Long> evicted = new ArrayList<>();
        long start = -1;
        for (Event event : mEvents) {
            boolean visible =
                    event.sequence() > lastSeen
                            && nowNanos - event.atNanos() >= lagNanos
                            && !isGap(event, faults);
            if (visible) {
                start = start < 0 ? event.sequence() : start;
                (event.stored() ? stored : evicted).add(event.prefix());
            } else if (start >= 0) {
                break;
            }
        }
        long firstSequence = start < 0 ? lastSeen + 1 : start;
        return new CacheEvents(mGeneration, firstSequence, stored, evicted);
    }

    private static boolean isGap(Event event, EndpointFaults faults) {
        return faults.cacheEventGapEvery() > 0
                && event.sequence() % faults.cacheEventGapEvery() == 0;
    }

    private void startGeneration(long generation) {
        if (generation != mGeneration) {
            mGeneration = generation;
            mLastSequence = 0;
            mCached.clear();
            mEvents.clear();
        }
    }

    private void add(Event event) {
        mEvents.addLast(event);
        if (mEvents.size() > MAXIMUM_EVENTS) {
            mEvents.removeFirst();
        }
    }

    private record Event(long sequence, long prefix, boolean stored, long atNanos) {}
}
