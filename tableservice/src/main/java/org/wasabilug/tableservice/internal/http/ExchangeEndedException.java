package org.wasabilug.tableservice.internal.http;

import org.wasabilug.error.ErrorCode;
import org.wasabilug.error.WasabilugException;

/** Closes the connection of an exchange that is over. */
final class ExchangeEndedException extends WasabilugException {
    ExchangeEndedException() {
        super(ErrorCode.INTERNAL, "The exchange with the platform is over.");
    }
}
