package org.wasabilug.internal.serving;

/** Outcome of the choice of an endpoint. */
public sealed interface Selection {
    /**
     * An endpoint was chosen.
     *
     * @param endpoint the endpoint
     * @param costMillis predicted time to the first event or the answer
     */
    record Chosen(EndpointState endpoint, double costMillis) implements Selection {}

    /**
     * No endpoint may take the request now.
     *
     * @param reason why, for the log
     * @param retryAfterMillis when asking again is worth it
     */
    record Unavailable(String reason, long retryAfterMillis) implements Selection {}
}
