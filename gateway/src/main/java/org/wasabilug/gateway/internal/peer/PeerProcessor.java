package org.wasabilug.gateway.internal.peer;

import org.wasabilug.messages.gateway.GatewayHeartbeat;

/** What a heartbeat tells about the processor of a peer. */
final class PeerProcessor {
    /** Assumed of peers of a version that does not report it. */
    private static final double DEFAULT_SHARE = 1;

    private PeerProcessor() {}

    /** Returns the processor share of a peer, in cores. */
    static double share(GatewayHeartbeat heartbeat) {
        return heartbeat.hasProcessorShare() ? heartbeat.getProcessorShare() : DEFAULT_SHARE;
    }
}
