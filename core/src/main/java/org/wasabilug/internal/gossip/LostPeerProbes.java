package org.wasabilug.internal.gossip;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses which of the instances that are taken for lost is tried again.
 *
 * <p>Parts of a fleet that lost each other, with all their common neighbors, find each other again
 * by this alone. Its cost does not depend on how many instances have left for good.
 */
public final class LostPeerProbes {
    private static final long INTERVAL_MILLIS = 1_000;

    private final RandomGenerator mRandom;
    private long mNextMillis = Long.MIN_VALUE;

    /**
     * Creates a choice that has tried none yet.
     *
     * @param random source of random numbers
     */
    public LostPeerProbes(RandomGenerator random) {
        mRandom = random;
    }

    /**
     * Returns the instance to be tried now.
     *
     * @param known names of all known instances but the local one
     * @param live names of those that are alive
     * @param nowMillis current time
     * @return a name about once a second; empty at other times, or if none is lost
     */
    public Optional<String> next(Collection<String> known, Set<String> live, long nowMillis) {
        if (nowMillis < mNextMillis) {
            return Optional.empty();
        }
        mNextMillis = nowMillis + INTERVAL_MILLIS;
        List<String> lost = known.stream().filter(name -> !live.contains(name)).toList();
        return lost.isEmpty()
                ? Optional.empty()
                : Optional.of(lost.get(mRandom.nextInt(lost.size())));
    }
}
