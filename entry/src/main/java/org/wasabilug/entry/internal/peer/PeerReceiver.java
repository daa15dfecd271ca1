package org.wasabilug.entry.internal.peer;

import org.wasabilug.model.InstanceName;
import org.wasabilug.port.PeerMessage;

/** Takes messages of other instances; called on the transport's thread, so it must not block. */
@FunctionalInterface
public interface PeerReceiver {
    /**
     * Takes a message.
     *
     * @param sender who sent it
     * @param message the message
     */
    void receive(InstanceName sender, PeerMessage message);
}
