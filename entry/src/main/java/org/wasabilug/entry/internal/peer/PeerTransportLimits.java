package org.wasabilug.entry.internal.peer;

/**
 * Limits of connections between instances.
 *
 * @param maximumFrameBytes maximum size of a message, in bytes
 * @param maximumQueuedBytes maximum size of the messages queued for one connection, in bytes
 * @param maximumInboundConnections maximum number of inbound connections
 * @param writeTimeoutSeconds time without write progress after which a connection is closed
 * @param initialReconnectDelayMilliseconds maximum delay after the first failure to connect;
 *     doubles with each further failure, and each delay is random, from half of this maximum
 * @param maximumReconnectDelayMilliseconds upper limit of the doubled maximum
 */
public record PeerTransportLimits(
        int maximumFrameBytes,
        int maximumQueuedBytes,
        int maximumInboundConnections,
        int writeTimeoutSeconds,
        long initialReconnectDelayMilliseconds,
        long maximumReconnectDelayMilliseconds) {
    private static final int FRAME_BYTES = 4 << 20;
    private static final int QUEUED_BYTES = 8 << 20;
    private static final int INBOUND_CONNECTIONS = 512;
    private static final int WRITE_TIMEOUT_SECONDS = 10;
    private static final long INITIAL_RECONNECT_DELAY_MILLISECONDS = 100;
    private static final long MAXIMUM_RECONNECT_DELAY_MILLISECONDS = 3_000;

    /**
     * Returns the limits for production use.
     *
     * @return the default limits
     */
    public static PeerTransportLimits defaults() {
        return new PeerTransportLimits(
                FRAME_BYTES,
                QUEUED_BYTES,
                INBOUND_CONNECTIONS,
                WRITE_TIMEOUT_SECONDS,
                INITIAL_RECONNECT_DELAY_MILLISECONDS,
                MAXIMUM_RECONNECT_DELAY_MILLISECONDS);
    }
}
