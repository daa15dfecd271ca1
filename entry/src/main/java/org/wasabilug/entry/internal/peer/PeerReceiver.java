package org.wasabilug.entry.internal.peer;

import org.wasabilug.model.InstanceName;
import org.wasabilug.port.PeerMessage;

/**
 * Receives the messages of other instances. Called on the transport's event loop, so it must not
 * block.
 */
@FunctionalInterface
public interface PeerReceiver {
    /**
     * Receives a message.
     *
     * @param sender name of the sending instance
     * @param message the message
     */
    void receive(InstanceName sender, PeerMessage message);
}
