package org.wasabilug.gateway.internal;

import java.net.InetSocketAddress;
import org.wasabilug.error.ErrorCode;
import org.wasabilug.error.WasabilugException;

/** Creates the exceptions of addresses at which an instance can't listen. */
public final class ListenReporter {
    private ListenReporter() {}

    /**
     * Returns the exception of an address that can't be bound.
     *
     * @param use what the address is for
     * @param address the address
     * @param cause why it can't be bound
     */
    public static WasabilugException cannotListen(
            String use, InetSocketAddress address, Throwable cause) {
        return new WasabilugException(
                ErrorCode.INVALID_SETTINGS,
                ("The instance can't listen for %s at %s:%d: %s. Set another address or port, or"
                                + " free this one.")
                        .formatted(
                                use,
                                address.getHostString(),
                                address.getPort(),
                                cause.getMessage()),
                cause);
    }
}
