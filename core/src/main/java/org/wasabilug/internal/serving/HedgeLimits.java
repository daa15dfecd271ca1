package org.wasabilug.internal.serving;

/**
 * Limits on hedged requests, second sends while the first goes on.
 *
 * @param share hedges per first send, from 0 to 1; 0 turns hedging off
 * @param percentile percentile of the response times of a route after which a request is hedged,
 *     between 0 and 100
 */
public record HedgeLimits(double share, double percentile) {
    private static final double DEFAULT_PERCENTILE = 95;

    /** No hedges. */
    public static final HedgeLimits OFF = new HedgeLimits(0, DEFAULT_PERCENTILE);

    /** Returns whether any request may be hedged. */
    public boolean enabled() {
        return share > 0;
    }
}
