package org.wasabilug.internal.retry;

/** Decision about a retry. */
public sealed interface RetryDecision {
    /**
     * Retry after a delay.
     *
     * @param delayNanos the delay, in nanoseconds
     */
    record RetryAfter(long delayNanos) implements RetryDecision {}

    /**
     * Do not retry.
     *
     * @param reason reason for the log
     */
    record Abandon(String reason) implements RetryDecision {}
}
