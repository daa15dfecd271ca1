package org.wasabilug.gateway.internal.store;

/**
 * Answer to a call of the store.
 *
 * @param status HTTP status; 0 where there was no answer
 * @param body the answer's body
 * @param reason why there was no answer; empty where there was one
 */
record StoreResponse(int status, byte[] body, String reason) {
    private static final int OK = 200;
    private static final int GONE = 410;

    static StoreResponse failed(String reason) {
        return new StoreResponse(0, new byte[0], reason);
    }

    boolean successful() {
        return status == OK;
    }

    boolean historyExpired() {
        return status == GONE;
    }
}
