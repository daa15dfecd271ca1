package org.wasabilug.internal.serving;

/** Result of choosing an endpoint. */
public sealed interface Selection {
    /**
     * An endpoint was chosen.
     *
     * @param endpoint the endpoint
     * @param costMillis predicted time to the first event or response, in milliseconds, including
     *     penalties
     */
    record Chosen(EndpointState endpoint, double costMillis) implements Selection {}

    /**
     * No endpoint can accept the request at the moment.
     *
     * @param reason reason for the log
     * @param retryAfterMillis delay, in milliseconds, after which a retry may succeed
     */
    record Unavailable(String reason, long retryAfterMillis) implements Selection {}
}
