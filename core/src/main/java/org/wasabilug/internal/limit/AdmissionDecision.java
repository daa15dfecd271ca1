package org.wasabilug.internal.limit;

/** Answer of the workspace limits. */
public sealed interface AdmissionDecision {
    /** The request may start. */
    record Admitted() implements AdmissionDecision {}

    /**
     * The workspace is over a limit.
     *
     * @param limit which limit, for the caller
     * @param retryAfterNanos when trying again makes sense, in nanoseconds
     */
    record OverLimit(String limit, long retryAfterNanos) implements AdmissionDecision {}
}
