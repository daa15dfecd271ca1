package org.wasabilug.internal.gossip;

/**
 * How often instances exchange and renew their states, by the size of the fleet.
 *
 * <p>Messages an instance and second are the same at any size, and the bytes nearly so: the larger
 * the fleet, the more rarely each instance renews its state.
 */
public final class GossipTiming {
    /** Time between two messages to a neighbor, in milliseconds. */
    public static final long ROUND_MILLIS = 150;

    private static final long MIN_REFRESH_MILLIS = 200;
    private static final long REFRESH_MILLIS_PER_INSTANCE = 4;

    /** Time in which a state reaches all instances over a number of neighbors, and spare time. */
    private static final long SPREAD_MILLIS = 1_200;

    private GossipTiming() {}

    /**
     * Returns the time after which an instance renews its state.
     *
     * @param instances number of instances
     * @return the time in milliseconds
     */
    public static long refreshMillis(int instances) {
        return Math.max(MIN_REFRESH_MILLIS, instances * REFRESH_MILLIS_PER_INSTANCE);
    }

    /**
     * Returns the age from which a state no longer shows that its instance is alive.
     *
     * @param instances number of instances
     * @return the age in milliseconds; one renewal may be missed
     */
    public static long maxAgeMillis(int instances) {
        return 2 * refreshMillis(instances) + SPREAD_MILLIS;
    }
}
