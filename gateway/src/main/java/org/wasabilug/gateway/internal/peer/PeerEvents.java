package org.wasabilug.gateway.internal.peer;

import org.wasabilug.messages.gateway.GatewayEnvelope;

/** Receives what peers send and what becomes of them. */
public interface PeerEvents {
    /**
     * A message other than a heartbeat has come.
     *
     * @param envelope the message
     */
    void received(GatewayEnvelope envelope);

    /**
     * A peer is not relied on any more, or again.
     *
     * @param name its name
     * @param live true where it is
     */
    void liveChanged(String name, boolean live);
}
