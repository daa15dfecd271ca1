package org.wasabilug.internal.serving;

/**
 * Allowed excess over the rate limit of a cold endpoint, summed over all instances.
 *
 * @param factor multiple of the endpoint's request rate
 * @param reserve requests allowed in addition
 */
public record ColdLimits(double factor, double reserve) {
    /**
     * Returns the share of one instance.
     *
     * @param requestsPerSecond request rate that the endpoint can handle while cold
     * @param instances number of instances that may send to the endpoint
     * @return requests that this instance may send within any one second, at least 1
     */
    public int share(double requestsPerSecond, int instances) {
        double total = requestsPerSecond * factor + reserve;
        return Math.max(1, (int) Math.floor(total / Math.max(1, instances)));
    }
}
