package org.wasabilug.internal.serving;

/**
 * How far a cold endpoint's own limit may be exceeded, for all instances together.
 *
 * @param factor multiple of the endpoint's rate
 * @param reserve requests beyond that
 */
public record ColdLimits(double factor, double reserve) {
    /**
     * Gives this instance's part.
     *
     * @param requestsPerSecond rate that the endpoint bears
     * @param instances instances that may send to it
     * @return requests that this instance may send in any second, at least 1
     */
    public int share(double requestsPerSecond, int instances) {
        double all = requestsPerSecond * factor + reserve;
        return Math.max(1, (int) Math.floor(all / Math.max(1, instances)));
    }
}
