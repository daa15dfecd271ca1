package org.wasabilug.serving;

/**
 * Limits on caller input.
 *
 * @param headerBytes maximum size of a request header, in bytes
 * @param bodyBytes maximum size of a request body, in bytes
 * @param headerMillis maximum time for sending a header, in milliseconds
 * @param idleMillis maximum idle time of a connection between requests, in milliseconds
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {
    /** Limits that apply until a configuration is available. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 5_000, 30_000);
}
