package org.wasabilug.standin.internal.http;

import org.wasabilug.error.ErrorCode;
import org.wasabilug.error.WasabilugException;

/** Aborts a connection in the middle of a response. */
public final class ConnectionBrokenException extends WasabilugException {
    /** Creates the exception. */
    public ConnectionBrokenException() {
        super(ErrorCode.INTERNAL, "The stand-in aborted this connection as an injected fault.");
    }
}
