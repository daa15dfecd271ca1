package org.wasabilug.tableservice.internal.http;

import org.wasabilug.error.ErrorCode;
import org.wasabilug.error.WasabilugException;

/** Closes the connection of a finished exchange. */
final class ExchangeEndedException extends WasabilugException {
    ExchangeEndedException() {
        super(ErrorCode.INTERNAL, "The exchange with the platform has finished.");
    }
}
