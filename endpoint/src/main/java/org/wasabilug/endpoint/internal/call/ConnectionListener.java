package org.wasabilug.endpoint.internal.call;

import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Who waits for the answer on a connection. */
interface ConnectionListener {
    /**
     * The head of the answer arrived.
     *
     * @param response the answer; its body has to be read or discarded
     */
    void onResponse(HttpResponse response);

    /**
     * The connection ended.
     *
     * @param neverMade true where it was never made and nothing was sent
     * @param reason words for the log
     */
    void onConnectionEnd(boolean neverMade, String reason);
}
