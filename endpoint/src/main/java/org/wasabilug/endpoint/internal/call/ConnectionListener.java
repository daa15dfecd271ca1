package org.wasabilug.endpoint.internal.call;

import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Receives the answer to a call on a connection. */
interface ConnectionListener {
    /**
     * Called when the head of the answer has arrived.
     *
     * @param response the answer; its body must be read or discarded
     */
    void onResponse(HttpResponse response);

    /**
     * Called when the connection has ended.
     *
     * @param neverConnected true if the connection was never established, so nothing was sent
     * @param reason text for the log
     */
    void onConnectionEnd(boolean neverConnected, String reason);
}
