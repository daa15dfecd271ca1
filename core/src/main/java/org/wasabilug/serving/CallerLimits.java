package org.wasabilug.serving;

/**
 * Bounds of what a caller may send.
 *
 * @param headerBytes bytes of a request's head
 * @param bodyBytes bytes of a request's body
 * @param headerMillis time for sending a head
 * @param idleMillis time for which a connection may rest between requests
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {
    /** Bounds that hold until a configuration is known. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 5_000, 30_000);
}
