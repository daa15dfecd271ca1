package org.wasabilug.standin.internal.http;

import org.wasabilug.error.ErrorCode;
import org.wasabilug.error.WasabilugException;

/** Breaks a connection in the middle of an answer. */
public final class ConnectionBrokenException extends WasabilugException {
    /** Creates the exception. */
    public ConnectionBrokenException() {
        super(ErrorCode.INTERNAL, "The stand-in broke this connection on purpose.");
    }
}
