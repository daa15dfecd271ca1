package org.wasabilug.entry;

import org.wasabilug.model.InstanceName;
import org.wasabilug.port.PeerMessage;

/** Sends messages to other entry instances. Messages may be lost. */
@FunctionalInterface
public interface PeerSender {
    /**
     * Sends a message asynchronously.
     *
     * @param peer name of the receiving instance
     * @param address IP address and port of the peer
     * @param message the message
     */
    void send(InstanceName peer, String address, PeerMessage message);
}
