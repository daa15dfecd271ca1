package org.wasabilug.gateway.internal.peer;

import org.wasabilug.messages.gateway.GatewayEnvelope;

/** Receives messages of peers and changes of their state. */
public interface PeerEvents {
    /**
     * Called for a message other than a heartbeat.
     *
     * @param envelope the message
     */
    void received(GatewayEnvelope envelope);

    /**
     * Called when a peer becomes live.
     *
     * @param name its name
     */
    void live(String name);

    /**
     * Called when a peer is no longer reachable; its work in progress is lost. A peer that stops
     * gracefully finishes its work first.
     *
     * @param name its name
     */
    void lost(String name);

    /**
     * Called when a peer tells which configuration is active there.
     *
     * @param name its name
     * @param version version of the configuration
     */
    void configurationActive(String name, long version);
}
