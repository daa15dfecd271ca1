package org.wasabilug.standin.internal.endpoint;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wasabilug.port.CacheEvents;
import org.wasabilug.standin.EndpointFaults;

/** A prefix cache that evicts the least recently used prefix, and the events of its changes. */
public final class CacheLog {
    private static final int MAXIMUM_EVENTS = 8192;

    private final int mCapacity;
    private final LinkedHashSet<Long> mHeld = new LinkedHashSet<>();
    private final Deque<Event> mEvents = new ArrayDeque<>();
    private long mLastSequence;
    private long mGeneration;

    /**
     * Creates an empty cache.
     *
     * @param capacity most prefixes that it holds
     */
    public CacheLog(int capacity) {
        mCapacity = capacity;
    }

    /**
     * Runs a call's prefixes through the cache.
     *
     * @param generation process life that holds the cache; a new one starts with an empty cache
     * @param prefixes hashes of the prefixes, shortest first
     * @param nowNanos monotonic time in nanoseconds
     */
    public synchronized void use(long generation, List<Long> prefixes, long nowNanos) {
        startGeneration(generation);
        for (Long prefix : prefixes) {
            if (!mHeld.remove(prefix)) {
                add(new Event(++mLastSequence, prefix, true, nowNanos));
            }
            mHeld.add(prefix);
        }
        while (mHeld.size() > mCapacity) {
            Long oldest = mHeld.getFirst();
            mHeld.remove(oldest);
            add(new Event(++mLastSequence, oldest, false, nowNanos));
        }
    }

    /**
     * Tells changes after a sequence number, late and with gaps as the faults say.
     *
     * @param generation process life at this moment
     * @param afterSequence last number that the asker has seen
     * @param faults lag and gaps
     * @param nowNanos monotonic time in nanoseconds
     * @return the changes, at most one run without gaps
     */
    public synchronized CacheEvents after(
            long generation, long afterSequence, EndpointFaults faults, long nowNanos) {
        startGeneration(generation);
        long lagNanos = TimeUnit.MILLISECONDS.toNanos(faults.cacheEventLagMilliseconds());
        long first = afterSequence > mLastSequence ? 0 : afterSequence;
        List<Long> stored = new ArrayList<>();
        List<Long> evicted = new ArrayList<>();
        long start = -1;
        for (Event event : mEvents) {
            boolean told =
                    event.sequence() > first
                            && nowNanos - event.atNanos() >= lagNanos
                            && !isGap(event, faults);
            if (told) {
                start = start < 0 ? event.sequence() : start;
                (event.stored() ? stored : evicted).add(event.prefix());
            } else if (start >= 0) {
                break;
            }
        }
        long firstSequence = start < 0 ? first + 1 : start;
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
            mHeld.clear();
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
