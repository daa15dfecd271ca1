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
     * A peer can't be reached any more; what it had under way is lost. A peer that stops in an
     * orderly way first finishes its work.
     *
     * @param name its name
     */
    void lost(String name);
}
