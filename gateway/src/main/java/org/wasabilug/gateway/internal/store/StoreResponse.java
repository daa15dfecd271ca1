package org.wasabilug.gateway.internal.store;

import java.util.OptionalLong;

/**
 * Response to a call of the store.
 *
 * @param status HTTP status; 0 if there was no response
 * @param body body of the response
 * @param era era of the store that the response tells; empty if it tells none
 * @param reason why there was no response; empty if there was one
 */
record StoreResponse(int status, byte[] body, OptionalLong era, String reason) {
    private static final int OK = 200;
    private static final int GONE = 410;

    static StoreResponse failed(String reason) {
        return new StoreResponse(0, new byte[0], OptionalLong.empty(), reason);
    }

    boolean answered() {
        return status != 0;
    }

    boolean successful() {
        return status == OK;
    }

    boolean historyExpired() {
        return status == GONE;
    }
}
