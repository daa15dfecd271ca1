package org.wasabilug.entry;

import org.wasabilug.model.InstanceName;
import org.wasabilug.port.PeerMessage;

/** Sends messages to other entry instances; a message may get lost. */
@FunctionalInterface
public interface PeerSender {
    /**
     * Sends a message without waiting for it to arrive.
     *
     * @param peer to whom
     * @param address IP number and port of the peer
     * @param message the message
     */
    void send(InstanceName peer, String address, PeerMessage message);
}
