package org.wasabilug.internal.serving;

import java.util.Optional;

/**
 * Load and momentary speed that an endpoint states about itself.
 *
 * @param running number of requests that it runs
 * @param waiting number of requests that wait there
 * @param slots number of requests that it runs concurrently
 * @param percent how long work takes there at this moment, in percent of the usual; 0 if not stated
 */
public record ServerLoad(int running, int waiting, int slots, int percent) {
    /** No endpoint has more requests or slots; a larger figure is an error of the endpoint. */
    private static final int MAX_COUNT = 100_000;

    /** A machine a hundred times slower than usual is out of order, not slow. */
    private static final int MAX_PERCENT = 10_000;

    /**
     * Creates a load from received figures.
     *
     * @param running number of requests that run
     * @param waiting number of requests that wait
     * @param slots number of requests that run concurrently
     * @param percent stated percentage; 0 if not stated
     * @return the load, or empty if a figure can't be right
     */
    public static Optional<ServerLoad> of(int running, int waiting, int slots, int percent) {
        boolean plausible =
                isCount(running)
                        && isCount(waiting)
                        && isCount(slots)
                        && percent >= 0
                        && percent <= MAX_PERCENT;
        return plausible
                ? Optional.of(new ServerLoad(running, waiting, slots, percent))
                : Optional.empty();
    }

    private static boolean isCount(int figure) {
        return figure >= 0 && figure <= MAX_COUNT;
    }

    /** Returns whether the endpoint stated its momentary speed. */
    public boolean statesSpeed() {
        return percent > 0;
    }
}
