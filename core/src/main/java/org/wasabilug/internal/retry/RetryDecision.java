package org.wasabilug.internal.retry;

/** Decision on a retry. */
public sealed interface RetryDecision {
    /**
     * Try again.
     *
     * @param delayNanos after this delay, in nanoseconds
     */
    record RetryAfter(long delayNanos) implements RetryDecision {}

    /**
     * Don't try again.
     *
     * @param reason why, for the log
     */
    record Abandon(String reason) implements RetryDecision {}
}
