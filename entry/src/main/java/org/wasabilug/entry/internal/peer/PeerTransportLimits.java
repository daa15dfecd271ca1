package org.wasabilug.entry.internal.peer;

/**
 * Limits of connections between instances.
 *
 * @param maximumFrameBytes longest message, in bytes
 * @param maximumQueuedBytes most bytes that wait for one connection to take them
 * @param maximumInboundConnections most connections that others may hold open here
 * @param writeTimeoutSeconds a connection that takes nothing for so long is closed
 * @param initialReconnectDelayMilliseconds pause after the first failure to connect; it doubles up
 *     to the longest
 * @param maximumReconnectDelayMilliseconds longest pause between trials to connect
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
     * The limits that suit a deployment.
     *
     * @return the limits
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
