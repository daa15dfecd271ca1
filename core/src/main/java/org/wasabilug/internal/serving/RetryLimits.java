package org.wasabilug.internal.serving;

/**
 * Limits of repeated sends to one service, for all instances together.
 *
 * @param ratio repeats allowed for each request
 * @param reserve repeats allowed in a window whatever the number of requests
 * @param windowMillis length of the window
 */
public record RetryLimits(double ratio, double reserve, long windowMillis) {}
