package org.wasabilug.internal.limit;

/** Decision on the admission of a request under its workspace's limits. */
public sealed interface AdmissionDecision {
    /** The request may start. */
    record Admitted() implements AdmissionDecision {}

    /**
     * The workspace has reached a limit.
     *
     * @param limit name of the limit, for the log
     * @param retryAfterNanos delay after which a retry may succeed, in nanoseconds
     */
    record OverLimit(String limit, long retryAfterNanos) implements AdmissionDecision {}
}
