package org.wasabilug.internal.serving;

/**
 * Limits on retries to one service, for all instances together.
 *
 * @param ratio retries allowed per request
 * @param reserve retries allowed per window regardless of the number of requests
 * @param windowMillis length of the window, in milliseconds
 */
public record RetryLimits(double ratio, double reserve, long windowMillis) {}
