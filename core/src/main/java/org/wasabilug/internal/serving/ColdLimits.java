package org.wasabilug.internal.serving;

/**
 * Allowed excess over the rate limit of a cold endpoint, summed over all instances.
 *
 * @param factor multiple of the endpoint's request rate
 * @param reserve requests allowed in addition
 */
public record ColdLimits(double factor, double reserve) {
    /** The rest is for instances that have just joined or started, which others do not know. */
    private static final double SENDERS_PART = 0.875;

    /**
     * Returns the share of an instance that may send.
     *
     * @param requestsPerSecond request rate that the endpoint can handle while cold
     * @param instances number of instances that share the limit
     * @return requests that this instance may send within any one second, at least 1
     */
    public int share(double requestsPerSecond, int instances) {
        return Math.max(1, (int) Math.floor(total(requestsPerSecond) / Math.max(1, instances)));
    }

    /**
     * Returns how many instances of a fleet of more may send to the endpoint, one request each.
     *
     * @param requestsPerSecond request rate that the endpoint can handle while cold
     * @return the number of instances, at least 1
     */
    public int senders(double requestsPerSecond) {
        return Math.max(1, (int) Math.floor(total(requestsPerSecond) * SENDERS_PART));
    }

    private double total(double requestsPerSecond) {
        return requestsPerSecond * factor + reserve;
    }
}
