package org.wasabilug.entry.internal.peer;

import java.net.InetSocketAddress;
import org.wasabilug.error.ErrorCode;
import org.wasabilug.error.WasabilugException;

/** Words the exceptions of connections between instances. */
final class PeerReporter {
    private PeerReporter() {}

    static WasabilugException cannotListen(InetSocketAddress address, Throwable cause) {
        return new WasabilugException(
                ErrorCode.INVALID_SETTINGS,
                "The instance cannot listen for its peers at "
                        + address
                        + ": "
                        + cause.getMessage()
                        + ". Set another address or port for peers, or free this one.",
                cause);
    }
}
