package org.wasabilug.endpoint.internal.call;

import org.wasabilug.error.ErrorCode;
import org.wasabilug.error.WasabilugException;

/** Aborts a connection from this side. */
final class ConnectionAbortedException extends WasabilugException {
    ConnectionAbortedException() {
        super(ErrorCode.INTERNAL, "This instance closed the connection to the endpoint.");
    }
}
