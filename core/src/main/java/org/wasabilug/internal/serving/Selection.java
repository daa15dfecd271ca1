package org.wasabilug.internal.serving;

/** Result of choosing an endpoint. */
public sealed interface Selection {
    /**
     * An endpoint was chosen.
     *
     * @param endpoint the endpoint
     * @param costMillis predicted time to the first event or response, in milliseconds, including
     *     penalties
     * @param workMillis predicted time at an engine of usual speed, without penalties; 0 for other
     *     services, and if the engine is full so that the time can't be predicted
     */
    record Chosen(EndpointState endpoint, double costMillis, double workMillis)
            implements Selection {}

    /**
     * No endpoint can accept the request at the moment.
     *
     * @param reason reason for the log
     * @param retryAfterMillis delay, in milliseconds, after which a retry may succeed
     */
    record Unavailable(String reason, long retryAfterMillis) implements Selection {}
}
