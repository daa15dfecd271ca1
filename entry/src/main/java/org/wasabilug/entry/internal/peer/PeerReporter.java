package org.wasabilug.entry.internal.peer;

import java.net.InetSocketAddress;
import org.wasabilug.error.ErrorCode;
import org.wasabilug.error.WasabilugException;

/** Creates the exceptions of the connections between instances. */
final class PeerReporter {
    private PeerReporter() {}

    static WasabilugException cannotListen(InetSocketAddress address, Throwable cause) {
        return new WasabilugException(
                ErrorCode.INVALID_SETTINGS,
                "The instance can't listen for peers at "
                        + address
                        + ": "
                        + cause.getMessage()
                        + ". Set another address or port for peers, or free this one.",
                cause);
    }
}
