package org.wasabilug.internal.serving;

/**
 * How often an instance asks the store for changes.
 *
 * <p>The load of the store is that of all instances together. This answers the load of a large
 * fleet, whose instances share a rate of calls until news would be known too late.
 */
public final class StorePolling {
    private static final long MIN_PAUSE_MILLIS = 500;
    private static final long MAX_PAUSE_MILLIS = 1_500;
    private static final long PAUSE_MILLIS_PER_INSTANCE = 10;

    /** A call whose answer is lost is repeated only after its wait. */
    private static final long MAX_WAIT_MILLIS = 5_000;

    private static final long MIN_WAIT_MILLIS = 2_000;
    private static final long WAIT_MILLIS_PER_INSTANCE = 40;

    private StorePolling() {}

    /**
     * Returns the pause between two calls for a table that changes all the time, so that no call
     * waits for a change.
     *
     * @param instances number of instances that call
     * @return the pause in milliseconds
     */
    public static long pauseMillis(int instances) {
        return Math.clamp(
                instances * PAUSE_MILLIS_PER_INSTANCE, MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS);
    }

    /**
     * Returns for how long a call waits for a change of a table that changes rarely.
     *
     * @param instances number of instances that call
     * @return the time in milliseconds
     */
    public static long waitMillis(int instances) {
        return Math.clamp(instances * WAIT_MILLIS_PER_INSTANCE, MIN_WAIT_MILLIS, MAX_WAIT_MILLIS);
    }
}
