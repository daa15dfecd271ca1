package org.wasabilug.internal.serving;

/** Spreads the times at which refused requests return, so that they do not return together. */
public final class RetrySpread {
    /** Odd number near 2^32 divided by the golden ratio, which spreads similar hashes. */
    private static final int HASH_MULTIPLIER = 0x9E3779B1;

    private static final int HASH_BITS = Integer.SIZE - Byte.SIZE;

    /** The longer the wait, the more requests were refused meanwhile. */
    private static final double MAX_ADDED_SHARE = 0.5;

    private RetrySpread() {}

    /**
     * Returns a time from the least one to half as long again; always the same for one request.
     *
     * @param request ID of the request
     * @param leastMillis least time after which it may return, in milliseconds
     */
    public static long millis(String request, double leastMillis) {
        int mixed = request.hashCode() * HASH_MULTIPLIER;
        double place = (mixed >>> Byte.SIZE) / (double) (1 << HASH_BITS);
        return (long) (leastMillis * (1 + MAX_ADDED_SHARE * place));
    }
}
