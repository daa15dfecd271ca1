package org.wasabilug.internal.retry;

/** Decision on a retry. */
public sealed interface RetryAnswer {
    /**
     * Try again.
     *
     * @param delayNanos after this delay, in nanoseconds
     */
    record RetryAfter(long delayNanos) implements RetryAnswer {}

    /**
     * Don't try again.
     *
     * @param reason why, for the log
     */
    record GiveUp(String reason) implements RetryAnswer {}
}
